/// \file
/// \brief JSON form of orders to engines, their results and load reports.

#ifndef YUCCAMOOR_PROTOCOL_PLATFORM_ENGINE_CODEC_H_
#define YUCCAMOOR_PROTOCOL_PLATFORM_ENGINE_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "yuccamoor/state/engine.h"

namespace yuccamoor {

/// Returns the order's JSON text.
std::string EncodeEngineOrder(const EngineOrder& order);
/// Returns the order, or nothing if the text is not one.
std::optional<EngineOrder> DecodeEngineOrder(std::string_view text);

/// Returns the JSON text of an order's result.
std::string EncodeOrderResult(const OrderResult& result);
/// Returns the result, or nothing if the text is not one.
std::optional<OrderResult> DecodeOrderResult(std::string_view text);

/// Returns the report's JSON text.
std::string EncodeEngineReport(const EngineReport& report);
/// Returns the report, or nothing if the text is not one.
std::optional<EngineReport> DecodeEngineReport(std::string_view text);

/// Returns the status's name on the wire and in logs.
std::string OrderStatusName(OrderStatus status);
/// Returns the order kind's name on the wire and in logs.
std::string OrderKindName(OrderKind kind);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_PROTOCOL_PLATFORM_ENGINE_CODEC_H_
