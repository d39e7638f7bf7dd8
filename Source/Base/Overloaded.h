// Builds one visitor from several lambdas, for std::visit.
#pragma once

namespace Berylport {

template <typename... Visitors> struct Overloaded : Visitors... {
    using Visitors::operator()...;
};

template <typename... Visitors> Overloaded(Visitors...) -> Overloaded<Visitors...>;

} // namespace Berylport
