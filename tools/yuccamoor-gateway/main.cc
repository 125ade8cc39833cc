/// \file
/// \brief The gateway program.

#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/transport/daemon/daemon_program.h"
#include "yuccamoor/transport/gateway/gateway.h"

namespace yuccamoor {
namespace {

/// A started gateway.
class GatewayProgram final : public RunningDaemon {
 public:
  explicit GatewayProgram(std::unique_ptr<Gateway> gateway)
      : m_gateway(std::move(gateway)) {
    m_gateway->Start();
  }

  std::map<std::string, std::uint16_t> Ports() const override {
    std::map<std::string, std::uint16_t> ports = m_gateway->daemon().Ports();
    ports["callers"] = m_gateway->port();
    return ports;
  }
  bool Shutdown() override { return m_gateway->Shutdown(); }

 private:
  std::unique_ptr<Gateway> m_gateway;
};

Result<std::unique_ptr<RunningDaemon>> Start(const std::string& text,
                                             const std::string& source,
                                             bool check_only) {
  auto settings = ParseGatewaySettings(text, source);
  if (!settings) return settings.error();
  if (check_only) return std::unique_ptr<RunningDaemon>();
  auto gateway = Gateway::Create(std::move(settings).value());
  if (!gateway) return gateway.error();
  return std::unique_ptr<RunningDaemon>(
      std::make_unique<GatewayProgram>(std::move(gateway).value()));
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  return yuccamoor::RunDaemonProgram(
      argc, argv, "yuccamoor-gateway",
      "Takes callers' requests and has them answered.", yuccamoor::Start);
}
