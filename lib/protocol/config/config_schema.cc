/// \file
/// \brief The schema table and its Markdown form.

#include "yuccamoor/protocol/config/config_schema.h"

#include <array>
#include <set>
#include <sstream>

namespace yuccamoor {
namespace {

constexpr double kMostAdapters = 500'000;
constexpr double kMostVersions = 64;
constexpr double kMostAliases = 10'000;
constexpr double kMostWorkers = 1'000;
constexpr double kMostCells = 1'000;
constexpr double kMostServices = 1'000;
constexpr double kMostCalls = 256;
constexpr double kMostTenants = 10'000;
constexpr double kMostKeys = 64;
constexpr double kMostUnits = 100'000'000;
constexpr double kMostTokens = 1'000'000;
constexpr double kMostPerSecond = 1'000'000;
constexpr double kMostMs = 3'600'000;

template <std::size_t N>
constexpr ObjectSchema Object(const char* title,
                              const std::array<FieldSchema, N>& fields) {
  return ObjectSchema{title, fields.data(), N};
}

constexpr std::array kPlaceFields{
    FieldSchema{"address", FieldType::kAddress, true, 0, 0, nullptr, "",
                "Where it listens, the IP address in numbers."},
    FieldSchema{"failure_domain", FieldType::kName, true, 0, 0, nullptr, "",
                "The failure domain that it runs in."},
    FieldSchema{"vm", FieldType::kName, false, 0, 0, nullptr, "none",
                "Its VM in the platform's VM list; tells when it leaves."},
};
constexpr ObjectSchema kPlace = Object("Worker or endpoint", kPlaceFields);

constexpr std::array kStoreFields{
    FieldSchema{"loads_per_second", FieldType::kNumber, true, 0.001,
                kMostPerSecond, nullptr, "",
                "Adapter loads per second that the store allows, over all "
                "workers of the cell."},
    FieldSchema{"max_in_flight", FieldType::kInteger, false, 1, kMostWorkers,
                nullptr, "8",
                "Loads under way at once before each becomes slower."},
    FieldSchema{"load_time_ms", FieldType::kInteger, false, 1, kMostMs, nullptr,
                "250", "Time of one load at full speed, in milliseconds."},
};
constexpr ObjectSchema kStore = Object("Weight store", kStoreFields);

constexpr std::array kObjectiveFields{
    FieldSchema{"load_stalls", FieldType::kNumber, false, 0, 1, nullptr, "1",
                "Weight of the time that requests wait for an adapter."},
    FieldSchema{"batch_efficiency", FieldType::kNumber, false, 0, 1, nullptr,
                "0", "Weight of how full the engines' batches are."},
};
constexpr ObjectSchema kObjectives = Object("Objectives", kObjectiveFields);

constexpr std::array kCellFields{
    FieldSchema{"model", FieldType::kName, true, 0, 0, nullptr, "",
                "The base model that the cell's workers serve."},
    FieldSchema{"region", FieldType::kName, true, 0, 0, nullptr, "",
                "The region of the cell's workers."},
    FieldSchema{"workers", FieldType::kMap, true, 1, kMostWorkers, &kPlace, "",
                "The cell's workers by name."},
    FieldSchema{"weight_store", FieldType::kObject, true, 0, 0, &kStore, "",
                "Limits of the weight store."},
    FieldSchema{"engines_check_epoch", FieldType::kBoolean, false, 0, 0,
                nullptr, "false",
                "Whether the engines refuse an order with an old fencing "
                "number. State true only if every engine of the cell does."},
    FieldSchema{"objectives", FieldType::kObject, false, 0, 0, &kObjectives,
                "see there", "What placement is to favour."},
};
constexpr ObjectSchema kCell = Object("Cell", kCellFields);

constexpr std::array kAdapterFields{
    FieldSchema{"cell", FieldType::kName, true, 0, 0, nullptr, "",
                "The cell that serves the adapter, of any file."},
    FieldSchema{"versions", FieldType::kNameList, true, 1, kMostVersions,
                nullptr, "", "The versions that may be asked for."},
    FieldSchema{"priority", FieldType::kPriority, false, 0, 0, nullptr,
                "normal",
                "interactive if a person waits, normal, or background."},
};
constexpr ObjectSchema kAdapter = Object("Adapter", kAdapterFields);

constexpr std::array kCallFields{
    FieldSchema{"method", FieldType::kMethod, true, 0, 0, nullptr, "",
                "The HTTP method, such as POST."},
    FieldSchema{"path_prefix", FieldType::kPath, true, 0, 0, nullptr, "",
                "What the paths of these calls start with."},
};
constexpr ObjectSchema kCall = Object("Non-idempotent call", kCallFields);

constexpr std::array kServiceFields{
    FieldSchema{"endpoints", FieldType::kMap, true, 1, kMostWorkers, &kPlace,
                "", "The service's endpoints by name."},
    FieldSchema{"non_idempotent", FieldType::kObjectList, false, 0, kMostCalls,
                &kCall, "none", "Calls that run at most once."},
    FieldSchema{"timeout_ms", FieldType::kInteger, false, 1, kMostMs, nullptr,
                "10000", "The longest that a call may take, in milliseconds."},
    FieldSchema{"requests_per_second", FieldType::kNumber, false, 0,
                kMostPerSecond, nullptr, "0",
                "Requests per second over all gateways; 0 sets no limit."},
};
constexpr ObjectSchema kService = Object("Service", kServiceFields);

constexpr std::array kQuotaFields{
    FieldSchema{"unit", FieldType::kQuotaUnit, false, 0, 0, nullptr, "requests",
                "What it counts: requests or tokens."},
    FieldSchema{"per_second", FieldType::kNumber, true, 0.001, kMostUnits,
                nullptr, "", "Units per second over all gateways together."},
    FieldSchema{"burst", FieldType::kNumber, false, 0, kMostUnits, nullptr,
                "one second's",
                "Units that may be saved up while fewer are used."},
    FieldSchema{"plain_tokens", FieldType::kInteger, false, 0, kMostTokens,
                nullptr, "0",
                "Tokens that a request counts which states none."},
};
constexpr ObjectSchema kQuota = Object("Quota", kQuotaFields);

constexpr std::array kTenantFields{
    FieldSchema{"keys", FieldType::kKeyList, true, 1, kMostKeys, nullptr, "",
                "The keys by which its callers are known. Secret: no report "
                "shows them."},
    FieldSchema{"priority", FieldType::kPriority, false, 0, 0, nullptr,
                "that of the adapter", "Goes before the adapter's."},
    FieldSchema{"quota", FieldType::kObject, false, 0, 0, &kQuota, "no limit",
                "What it may use."},
};
constexpr ObjectSchema kTenant = Object("Tenant", kTenantFields);

constexpr std::array kFileFields{
    FieldSchema{"owner", FieldType::kName, true, 0, 0, nullptr, "",
                "Who owns what the file holds. A publication replaces all "
                "that its files' owners had before, and nothing else."},
    FieldSchema{"cells", FieldType::kMap, false, 0, kMostCells, &kCell, "none",
                "Cells by name."},
    FieldSchema{"adapters", FieldType::kMap, false, 0, kMostAdapters, &kAdapter,
                "none", "Adapters by name."},
    FieldSchema{"aliases", FieldType::kWeights, false, 0, kMostAliases, nullptr,
                "none",
                "Names that callers may use in place of adapter@version. Each "
                "is an object from adapter@version to its weight: a caller's "
                "share is fixed by a hash of its key."},
    FieldSchema{"services", FieldType::kMap, false, 0, kMostServices, &kService,
                "none", "Plain services by name."},
    FieldSchema{"tenants", FieldType::kMap, false, 0, kMostTenants, &kTenant,
                "none", "Tenants by name."},
};
constexpr ObjectSchema kFile = Object("File", kFileFields);

const char* TypeName(const FieldSchema& field) {
  switch (field.type) {
    case FieldType::kName:
      return "name";
    case FieldType::kAddress:
      return "\"ip:port\"";
    case FieldType::kMethod:
      return "HTTP method";
    case FieldType::kPath:
      return "path";
    case FieldType::kPriority:
      return "priority";
    case FieldType::kQuotaUnit:
      return "requests or tokens";
    case FieldType::kKeyList:
      return "list of keys";
    case FieldType::kBoolean:
      return "true or false";
    case FieldType::kInteger:
      return "whole number";
    case FieldType::kNumber:
      return "number";
    case FieldType::kObject:
      return "object";
    case FieldType::kMap:
      return "object by name";
    case FieldType::kNameList:
      return "list of names";
    case FieldType::kObjectList:
      return "list of objects";
    case FieldType::kWeights:
      return "weights by target, by name";
  }
  return "";
}

void WriteObject(const ObjectSchema& schema, std::set<std::string>& written,
                 std::ostream& os) {
  if (!written.insert(schema.title).second) return;
  os << "### " << schema.title << "\n\n"
     << "| field | type | range | default | meaning |\n"
     << "| --- | --- | --- | --- | --- |\n";
  for (const FieldSchema& field : schema) {
    os << "| `" << field.name << "` | " << TypeName(field);
    if (field.element != nullptr) os << " (" << field.element->title << ")";
    os << " | ";
    if (field.most > 0) os << field.least << " to " << field.most;
    os << " | " << (field.required ? "required" : field.default_text) << " | "
       << field.description << " |\n";
  }
  os << '\n';
  for (const FieldSchema& field : schema) {
    if (field.element != nullptr) WriteObject(*field.element, written, os);
  }
}

}  // namespace

const ObjectSchema& ConfigFileSchema() { return kFile; }

std::string SchemaAsMarkdown() {
  std::ostringstream os;
  os.precision(9);
  std::set<std::string> written;
  WriteObject(kFile, written, os);
  return os.str();
}

}  // namespace yuccamoor
