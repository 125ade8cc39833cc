/// \file
/// \brief The gateway program.

#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/transport/daemon/daemon_program.h"
#include "yuccamoor/transport/gateway/gateway.h"
#include "yuccamoor/transport/observability/daemon_setting_infos.h"

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

Result<std::unique_ptr<RunningDaemon>> Start(const GatewaySettings& settings) {
  auto gateway = Gateway::Create(settings);
  if (!gateway) return gateway.error();
  return std::unique_ptr<RunningDaemon>(
      std::make_unique<GatewayProgram>(std::move(gateway).value()));
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  GatewaySettings settings;
  DaemonProgram program;
  program.name = "yuccamoor-gateway";
  program.summary = "Takes callers' requests and has them answered.";
  program.settings = GatewaySettingInfos();
  program.parse = [&settings](const std::string& text) {
    auto parsed = ParseGatewaySettings(text, "settings");
    if (!parsed) return parsed.error();
    settings = std::move(parsed).value();
    return Findings();
  };
  program.start = [&settings] { return Start(settings); };
  return RunDaemonProgram(program, argc, argv);
}
