/// \file
/// \brief JSON form of orders to engines, their results and load reports.

#include "yuccamoor/protocol/platform/engine_codec.h"

#include "yuccamoor/protocol/json.h"
#include "yuccamoor/protocol/platform/enum_names.h"

namespace yuccamoor {
namespace {

constexpr std::array<EnumName<OrderStatus>, 6> kStatusNames = {{
    {OrderStatus::kDone, "done"},
    {OrderStatus::kStaleEpoch, "stale_epoch"},
    {OrderStatus::kFailed, "failed"},
    {OrderStatus::kNoSlot, "no_slot"},
    {OrderStatus::kNotSent, "not_sent"},
    {OrderStatus::kUnknown, "unknown"},
}};

constexpr std::array<EnumName<OrderKind>, 2> kKindNames = {{
    {OrderKind::kLoad, "load"},
    {OrderKind::kEvict, "evict"},
}};

EngineOrder ReadOrder(const Json& json) {
  EngineOrder order;
  order.cell = json.at("cell").get<CellId>();
  order.epoch = json.at("epoch").get<Epoch>();
  order.number = json.at("number").get<OrderNumber>();
  order.kind =
      EnumOf<OrderKind>(kKindNames, json.at("kind").get<std::string>());
  order.worker = json.at("worker").get<WorkerId>();
  order.target = json.at("target").get<AdapterVersion>();
  return order;
}

OrderResult ReadResult(const Json& json) {
  OrderResult result;
  result.worker = json.at("worker").get<WorkerId>();
  result.epoch = json.at("epoch").get<Epoch>();
  result.number = json.at("number").get<OrderNumber>();
  result.status =
      EnumOf<OrderStatus>(kStatusNames, json.at("status").get<std::string>());
  result.instance = json.at("instance").get<InstanceId>();
  return result;
}

EngineReport ReadReport(const Json& json) {
  EngineReport report;
  report.worker = json.at("worker").get<WorkerId>();
  report.instance = json.at("instance").get<InstanceId>();
  report.sequence = json.at("sequence").get<Sequence>();
  report.slots = GetUnsigned32(json.at("slots"));
  report.batch_capacity = GetUnsigned32(json.at("batch_capacity"));
  report.running = GetUnsigned32(json.at("running"));
  report.queued = GetUnsigned32(json.at("queued"));
  report.age = json.at("age_ms").get<DurationMs>();
  report.leaving = json.at("leaving").get<bool>();
  for (const Json& resident : json.at("residents")) {
    report.residents.push_back(
        ResidentReport{resident.at("target").get<AdapterVersion>(),
                       GetUnsigned32(resident.at("running"))});
  }
  report.loading = json.at("loading").get<std::vector<AdapterVersion>>();
  return report;
}

template <class T>
std::optional<T> DecodeWith(T (*read)(const Json&), std::string_view text) {
  try {
    return read(Json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::string EncodeEngineOrder(const EngineOrder& order) {
  return Json{{"cell", order.cell},     {"epoch", order.epoch},
              {"number", order.number}, {"kind", OrderKindName(order.kind)},
              {"worker", order.worker}, {"target", order.target}}
      .dump();
}

std::optional<EngineOrder> DecodeEngineOrder(std::string_view text) {
  return DecodeWith<EngineOrder>(ReadOrder, text);
}

std::string EncodeOrderResult(const OrderResult& result) {
  return Json{{"worker", result.worker},
              {"epoch", result.epoch},
              {"number", result.number},
              {"status", OrderStatusName(result.status)},
              {"instance", result.instance}}
      .dump();
}

std::optional<OrderResult> DecodeOrderResult(std::string_view text) {
  return DecodeWith<OrderResult>(ReadResult, text);
}

std::string EncodeEngineReport(const EngineReport& report) {
  Json residents = Json::array();
  for (const ResidentReport& resident : report.residents) {
    residents.push_back(
        {{"target", resident.target}, {"running", resident.running}});
  }
  Json json = {{"worker", report.worker},
               {"instance", report.instance},
               {"sequence", report.sequence},
               {"slots", report.slots},
               {"batch_capacity", report.batch_capacity},
               {"running", report.running},
               {"queued", report.queued},
               {"age_ms", report.age},
               {"leaving", report.leaving}};
  json["residents"] = std::move(residents);
  json["loading"] = report.loading;
  return json.dump();
}

std::optional<EngineReport> DecodeEngineReport(std::string_view text) {
  return DecodeWith<EngineReport>(ReadReport, text);
}

std::string OrderStatusName(OrderStatus status) {
  return NameOf(kStatusNames, status);
}

std::string OrderKindName(OrderKind kind) { return NameOf(kKindNames, kind); }

}  // namespace yuccamoor
