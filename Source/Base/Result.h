// Result<T, E>: a value or a module's own error, by Boost.Outcome.
#pragma once

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/success_failure.hpp>

namespace Berylport {

// Reading the value of a failed result is a programming error and ends the process.
template <typename T, typename E>
using Result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, E, BOOST_OUTCOME_V2_NAMESPACE::policy::terminate>;

using BOOST_OUTCOME_V2_NAMESPACE::failure;
using BOOST_OUTCOME_V2_NAMESPACE::success;

} // namespace Berylport
