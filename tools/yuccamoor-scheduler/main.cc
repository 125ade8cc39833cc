/// \file
/// \brief The scheduler program.

#include "yuccamoor/protocol/daemon_settings.h"
#include "yuccamoor/transport/daemon/daemon_program.h"
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

Result<std::unique_ptr<RunningDaemon>> Start(const std::string& text,
                                             const std::string& source,
                                             bool check_only) {
  auto settings = ParseSchedulerSettings(text, source);
  if (!settings) return settings.error();
  if (check_only) return std::unique_ptr<RunningDaemon>();
  auto scheduler = Scheduler::Create(std::move(settings).value());
  if (!scheduler) return scheduler.error();
  return std::unique_ptr<RunningDaemon>(
      std::make_unique<SchedulerProgram>(std::move(scheduler).value()));
}

}  // namespace
}  // namespace yuccamoor

int main(int argc, char** argv) {
  return yuccamoor::RunDaemonProgram(
      argc, argv, "yuccamoor-scheduler",
      "Leads cells: orders loads and evictions, grants residency leases.",
      yuccamoor::Start);
}
