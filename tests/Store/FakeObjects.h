// ObjectClient in virtual time.
#pragma once

#include "StandIns/Objects/ObjectState.h"
#include "Store/FakeStore.h"

namespace Berylport::Testing {

class FakeObjects : public FakeStore {
public:
    using FakeStore::FakeStore;

    ObjectState state;
    std::unique_ptr<ObjectClient> connect(std::shared_ptr<FakeProcess> process)
    {
        return std::make_unique<Client>(*this, std::move(process));
    }

private:
    class Client final : public ObjectClient {
    public:
        Client(FakeObjects& objects, std::shared_ptr<FakeProcess> process)
            : m_objects(objects)
            , m_process(std::move(process))
        {
        }

        void put(std::string name, std::string bytes, Completion<Done> completion) override
        {
            m_objects.request<Done>(
                m_process, true,
                [&objects = m_objects, name = std::move(name), bytes = std::move(bytes)] {
                    return objects.state.put(name, bytes, objects.counters);
                },
                std::move(completion));
        }

        void get(std::string name, Completion<std::string> completion) override
        {
            m_objects.request<std::string>(
                m_process, false, [&objects = m_objects, name = std::move(name)] { return objects.state.get(name); },
                std::move(completion));
        }

        void remove(std::string name, Completion<Done> completion) override
        {
            m_objects.request<Done>(
                m_process, true,
                [&objects = m_objects, name = std::move(name)] { return objects.state.remove(name, objects.counters); },
                std::move(completion));
        }

    private:
        FakeObjects& m_objects;
        std::shared_ptr<FakeProcess> m_process;
    };
};

} // namespace Berylport::Testing
