/// \file
/// \brief Checks across owners' parts.

#include <algorithm>
#include <string>
#include <string_view>
#include <unordered_map>

#include "yuccamoor/coordination/config/config_content.h"

namespace yuccamoor {
namespace {

Place PlaceIn(const ConfigUnit& unit, std::string pointer) {
  return Place{unit.source, std::move(pointer), 0, 0};
}

/// Finds names that are claimed twice.
class ClaimChecker {
 public:
  ClaimChecker(const char* kind, Findings& findings)
      : m_kind(kind), m_findings(findings) {}

  void Claim(const std::string& name, const ConfigUnit& unit,
             const std::string& pointer) {
    const auto [it, fresh] = m_owners.emplace(name, &unit);
    if (fresh) return;
    m_findings.Add(PlaceIn(unit, pointer),
                   std::string(m_kind) + " \"" + name +
                       "\" is claimed by owner \"" + it->second->owner.str() +
                       "\" too",
                   "see " + it->second->source + "; keep it in one of the two");
  }

 private:
  const char* m_kind;
  Findings& m_findings;
  std::unordered_map<std::string, const ConfigUnit*> m_owners;
};

/// Finds keys that name two tenants. Keys are secret: a finding tells where
/// they are.
class KeyChecker {
 public:
  explicit KeyChecker(Findings& findings) : m_findings(findings) {}

  void Claim(const TenantConfig& tenant, const ConfigUnit& unit) {
    for (std::size_t i = 0; i < tenant.keys.size(); ++i) {
      Holder holder{
          &unit, "/tenants/" + tenant.id.str() + "/keys/" + std::to_string(i)};
      const auto [it, fresh] = m_holders.emplace(tenant.keys[i], holder);
      if (fresh) continue;
      const Holder& other = it->second;
      m_findings.Add(PlaceIn(unit, holder.pointer), "the key is given twice",
                     "see " + other.unit->source + " " + other.pointer +
                         " of owner \"" + other.unit->owner.str() +
                         "\"; give each tenant keys of its own");
    }
  }

 private:
  struct Holder {
    const ConfigUnit* unit = nullptr;
    std::string pointer;
  };

  Findings& m_findings;
  std::unordered_map<std::string, Holder> m_holders;
};

void CheckClaims(const ConfigUnits& units, Findings& findings) {
  ClaimChecker cells("cell", findings);
  ClaimChecker workers("worker", findings);
  ClaimChecker addresses("address", findings);
  ClaimChecker services("service", findings);
  ClaimChecker aliases("alias", findings);
  ClaimChecker adapters("adapter", findings);
  ClaimChecker tenants("tenant", findings);
  KeyChecker keys(findings);
  for (const auto& [owner, unit] : units) {
    for (const CellConfig& cell : unit.cells) {
      const std::string pointer = "/cells/" + cell.id.str();
      cells.Claim(cell.id.str(), unit, pointer);
      for (const WorkerConfig& w : cell.workers) {
        const std::string at = pointer + "/workers/" + w.id.str();
        workers.Claim(w.id.str(), unit, at);
        addresses.Claim(w.address, unit, at + "/address");
      }
    }
    for (const ServiceConfig& service : unit.services) {
      services.Claim(service.id.str(), unit, "/services/" + service.id.str());
    }
    for (const AliasConfig& alias : unit.aliases) {
      aliases.Claim(alias.name, unit, "/aliases/" + alias.name);
    }
    for (const TenantConfig& tenant : unit.tenants) {
      tenants.Claim(tenant.id.str(), unit, "/tenants/" + tenant.id.str());
      keys.Claim(tenant, unit);
    }
    for (const AdapterConfig& adapter : unit.adapters) {
      adapters.Claim(adapter.id.str(), unit, "/adapters/" + adapter.id.str());
    }
  }
}

using AdapterIndex = std::unordered_map<AdapterId, const AdapterConfig*>;

void CheckAlias(const AliasConfig& alias, const ConfigUnit& unit,
                const AdapterIndex& adapters, Findings& findings) {
  for (const AliasTarget& t : alias.targets) {
    const std::string pointer = "/aliases/" + alias.name + "/" +
                                t.target.adapter.str() + "@" +
                                t.target.version.str();
    const auto it = adapters.find(t.target.adapter);
    if (it == adapters.end()) {
      findings.Add(PlaceIn(unit, pointer),
                   "no adapter \"" + t.target.adapter.str() + "\"",
                   "add the adapter or drop this target");
      continue;
    }
    const auto& versions = it->second->versions;
    if (std::find(versions.begin(), versions.end(), t.target.version) !=
        versions.end()) {
      continue;
    }
    findings.Add(PlaceIn(unit, pointer),
                 "adapter \"" + t.target.adapter.str() + "\" of owner \"" +
                     it->second->owner.str() + "\" has no version \"" +
                     t.target.version.str() + "\"",
                 "keep the version until no alias names it");
  }
}

void CheckReferences(const ConfigUnits& units, Findings& findings) {
  std::unordered_map<CellId, const CellConfig*> cells;
  AdapterIndex adapters;
  for (const auto& [owner, unit] : units) {
    for (const CellConfig& cell : unit.cells) cells.emplace(cell.id, &cell);
    for (const AdapterConfig& a : unit.adapters) adapters.emplace(a.id, &a);
  }
  for (const auto& [owner, unit] : units) {
    for (const AdapterConfig& adapter : unit.adapters) {
      if (cells.contains(adapter.cell)) continue;
      findings.Add(PlaceIn(unit, "/adapters/" + adapter.id.str() + "/cell"),
                   "no cell \"" + adapter.cell.str() + "\"",
                   "add the cell or name another");
    }
    for (const AliasConfig& alias : unit.aliases) {
      CheckAlias(alias, unit, adapters, findings);
    }
  }
}

}  // namespace

Findings CheckUnits(const ConfigUnits& units) {
  Findings findings;
  CheckClaims(units, findings);
  CheckReferences(units, findings);
  return findings;
}

}  // namespace yuccamoor
