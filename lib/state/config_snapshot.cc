/// \file
/// \brief Lookups in a configuration snapshot.

#include "yuccamoor/state/config_snapshot.h"

#include <algorithm>
#include <cstdint>

namespace yuccamoor {
namespace {

/// FNV-1a, 64 bits. Chosen as it must give the same value in every process
/// and release: a caller's share of a canary must not move.
std::uint64_t StableHash(std::string_view text) {
  constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffsetBasis;
  for (const char c : text) {
    hash ^= static_cast<unsigned char>(c);
    hash *= kPrime;
  }
  return hash;
}

const AdapterVersion& PickTarget(const AliasConfig& alias,
                                 std::string_view caller_key) {
  std::uint64_t total = 0;
  for (const AliasTarget& t : alias.targets) total += t.weight;
  if (total == 0) return alias.targets.front().target;
  std::uint64_t point = StableHash(caller_key) % total;
  for (const AliasTarget& t : alias.targets) {
    if (point < t.weight) return t.target;
    point -= t.weight;
  }
  return alias.targets.back().target;
}

}  // namespace

const AdapterConfig* ConfigSnapshot::FindAdapter(const AdapterId& id) const {
  if (!adapters) return nullptr;
  const auto it = adapters->find(id);
  return it == adapters->end() ? nullptr : it->second.get();
}

const CellConfig* ConfigSnapshot::FindCell(const CellId& id) const {
  const auto it = cells.find(id);
  return it == cells.end() ? nullptr : it->second.get();
}

const ServiceConfig* ConfigSnapshot::FindService(const ServiceId& id) const {
  const auto it = services.find(id);
  return it == services.end() ? nullptr : it->second.get();
}

std::optional<AdapterVersion> ConfigSnapshot::Resolve(
    std::string_view model, std::string_view caller_key) const {
  const auto alias = aliases.find(model);
  if (alias != aliases.end() && !alias->second->targets.empty()) {
    return PickTarget(*alias->second, caller_key);
  }
  const std::size_t at = model.find('@');
  if (at == std::string_view::npos) return std::nullopt;
  AdapterVersion target{AdapterId(std::string(model.substr(0, at))),
                        VersionId(std::string(model.substr(at + 1)))};
  const AdapterConfig* adapter = FindAdapter(target.adapter);
  if (adapter == nullptr) return std::nullopt;
  const auto& versions = adapter->versions;
  if (std::find(versions.begin(), versions.end(), target.version) ==
      versions.end()) {
    return std::nullopt;
  }
  return target;
}

bool ConfigSnapshot::IsNonIdempotent(const ServiceConfig& service,
                                     std::string_view method,
                                     std::string_view path) {
  return std::any_of(
      service.non_idempotent.begin(), service.non_idempotent.end(),
      [&](const NonIdempotentCall& call) {
        return call.method == method &&
               path.substr(0, call.path_prefix.size()) == call.path_prefix;
      });
}

}  // namespace yuccamoor
