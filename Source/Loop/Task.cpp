// Tasks and the text of their failures.
#include "Loop/Task.h"

namespace Berylport {

Task::Task(EventLoop& loop, std::string name)
    : m_loop(loop)
    , m_name(std::move(name))
    , m_alive(std::make_shared<bool>(true))
{
}

void Task::fail(std::exception_ptr failure)
{
    if (m_parent)
        m_parent->taskFailed(*this, std::move(failure));
    else
        m_loop.fail(std::move(failure));
}

void Task::finish()
{
    if (m_parent)
        m_parent->taskFinished(*this);
}

std::string describe(const std::exception_ptr& failure)
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception& e) {
        return e.what();
    } catch (...) {
        return "unknown exception";
    }
}

} // namespace Berylport
