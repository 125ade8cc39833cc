/// \file
/// \brief Recognizes a request that comes again.

#ifndef YUCCAMOOR_PROTOCOL_FLEET_REQUEST_DIGEST_H_
#define YUCCAMOOR_PROTOCOL_FLEET_REQUEST_DIGEST_H_

#include <initializer_list>
#include <string_view>

#include "yuccamoor/state/ids.h"

namespace yuccamoor::fleet {

/// The same for all attempts of clients at one request.
using RequestDigest = StringId<struct RequestDigestTag>;

/// Returns the digest of a request that consists of these texts, in this order.
/// It is a name-based UUID (RFC 4122, version 5): a caller cannot make up a
/// request with the digest of another caller's.
RequestDigest DigestOf(std::initializer_list<std::string_view> texts);

}  // namespace yuccamoor::fleet

#endif  // YUCCAMOOR_PROTOCOL_FLEET_REQUEST_DIGEST_H_
