/// \file
/// \brief The scheduler program.

#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/transport/daemon/daemon_program.h"
#include "yuccamoor/transport/observability/daemon_setting_infos.h"
#include "yuccamoor/transport/scheduler/scheduler.h"

namespace yuccamoor {
namespace {

/// A started scheduler.
class SchedulerProgram final : public RunningDaemon {
 public:
  explicit SchedulerProgram(std::unique_ptr<Scheduler> scheduler)
      : m_scheduler(std::move(scheduler)) {
    m_scheduler->Start();
  }

  std::map<std::string, std::uint16_t> Ports() const override {
    return m_scheduler->daemon().Ports();
  }
  bool Shutdown() override { return m_scheduler->Shutdown(); }

 private:
  std::unique_ptr<Scheduler> m_scheduler;
};

Result<std::unique_ptr<RunningDaemon>> Start(
    const SchedulerSettings& settings) {
  auto scheduler = Scheduler::Create(settings);
  if (!scheduler) return scheduler.error();
  return std::unique_ptr<RunningDaemon>(
      std::make_unique<SchedulerProgram>(std::move(scheduler).value()));
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  using namespace yuccamoor;  // NOLINT(google-build-using-namespace)
  SchedulerSettings settings;
  DaemonProgram program;
  program.name = "yuccamoor-scheduler";
  program.summary =
      "Leads cells: orders loads and evictions, grants residency leases.";
  program.settings = SchedulerSettingInfos();
  program.parse = [&settings](const std::string& text) {
    auto parsed = ParseSchedulerSettings(text, "settings");
    if (!parsed) return parsed.error();
    settings = std::move(parsed).value();
    return Findings();
  };
  program.start = [&settings] { return Start(settings); };
  return RunDaemonProgram(program, argc, argv);
}
