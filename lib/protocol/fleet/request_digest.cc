#include "yuccamoor/protocol/fleet/request_digest.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <string>

namespace yuccamoor::fleet {

RequestDigest DigestOf(std::initializer_list<std::string_view> texts) {
  std::string name;
  for (const std::string_view text : texts) {
    // The lengths keep texts apart that read alike when joined.
    name.append(std::to_string(text.size())).append(":").append(text);
  }
  const boost::uuids::name_generator_sha1 generator(boost::uuids::ns::oid());
  return RequestDigest(
      boost::uuids::to_string(generator(name.data(), name.size())));
}

}  // namespace yuccamoor::fleet
