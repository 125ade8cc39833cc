#include "yuccamoor/state/fleet/endpoint_entry.h"

#include <string_view>

namespace yuccamoor::fleet {

std::string ToString(const AdapterRef& adapter) {
  if (adapter.name.empty()) return adapter.model.str();
  return adapter.model.str() + "/" + adapter.name;
}

AdapterRef ParseAdapterRef(std::string_view text) {
  const std::size_t slash = text.find('/');
  if (slash == std::string_view::npos) return {ModelId(std::string(text)), ""};
  return {ModelId(std::string(text.substr(0, slash))),
          std::string(text.substr(slash + 1))};
}

}  // namespace yuccamoor::fleet
