/// \file
/// \brief The result of a static factory: a value, or the findings that
/// prevented it.

#ifndef YUCCAMOOR_STATE_RESULT_H_
#define YUCCAMOOR_STATE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/throw_bad_result_access.hpp>

#include "yuccamoor/state/finding.h"

namespace yuccamoor {

/// Holds a T or an E. Reading the side that is not there throws
/// boost::outcome_v2::bad_result_access.
template <class T, class E = Findings>
using Result = boost::outcome_v2::basic_result<
    T, E, boost::outcome_v2::policy::throw_bad_result_access<E, void>>;

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STATE_RESULT_H_
