/// \file
/// \brief Nodes as separate processes, and the record of a play.

#ifndef YUCCAMOOR_REVIEW_STANDINS_2_FLEET_H_
#define YUCCAMOOR_REVIEW_STANDINS_2_FLEET_H_

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "net.h"
#include "store.h"

namespace review {

/// Exit statuses of a case.
inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kCouldNotRun = 2;

/// Writes what was sent, answered and run, one line each.
class Record {
 public:
  explicit Record(const std::string& path) : m_file(path) {}

  void Line(const std::string& text) {
    const std::lock_guard lock(m_mutex);
    m_file << ElapsedMs() << " ms  " << text << '\n';
    m_file.flush();
  }

 private:
  std::mutex m_mutex;
  std::ofstream m_file;
};

struct NodeOptions {
  std::string name;
  std::string zone;
  std::string ip;
  bool first_start = true;
};

/// A process of the program that the deploy file starts.
class NodeProcess {
 public:
  NodeProcess(std::string program, std::string folder, NodeOptions options,
              const Address& store)
      : m_program(std::move(program)),
        m_folder(std::move(folder)),
        m_options(std::move(options)),
        m_store(store) {
    // Below the ports that the kernel gives to connections, apart from those of
    // plays at the same time.
    constexpr int kPortsEach = 20;
    constexpr int kPlays = 600;
    m_base =
        static_cast<std::uint16_t>(20'000 + ::getpid() % kPlays * kPortsEach);
    Start();
  }
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;
  ~NodeProcess() { Kill(); }

  Address front() const { return {m_options.ip, m_base}; }
  Address ready() const {
    return {m_options.ip, static_cast<std::uint16_t>(m_base + 1)};
  }
  const std::string& name() const { return m_options.name; }

  void Start() {
    const std::string path = m_folder + "/" + m_options.name + ".conf";
    const std::string log = m_folder + "/" + m_options.name + ".log";
    WriteSettings(path);
    m_pid = ::fork();
    if (m_pid != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::setenv("YUCCAMOOR_NODE_FILE", path.c_str(), 1);
    ::execl(m_program.c_str(), m_program.c_str(), nullptr);
    ::_exit(127);
  }

  void Signal(int signal) const {
    if (m_pid > 0) ::kill(m_pid, signal);
  }

  void Kill() {
    if (m_pid <= 0) return;
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
    m_pid = -1;
  }

  /// As the platform does after a process has ended.
  void Restart() {
    m_options.first_start = false;
    Start();
  }

  pid_t pid() const { return m_pid; }

  bool Runs() {
    if (m_pid <= 0) return false;
    return ::waitpid(m_pid, nullptr, WNOHANG) == 0;
  }

  /// The answer to the platform's question; zero without one in a second.
  int AskReady() const {
    return Ask(ready(), "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n", 1'000)
        .status;
  }

  bool AwaitReady(std::int64_t timeout_ms) const {
    const std::int64_t until = ElapsedMs() + timeout_ms;
    while (ElapsedMs() < until) {
      if (AskReady() == 200) return true;
      SleepMs(100);
    }
    return false;
  }

 private:
  // The bounds and limits of karabag-abone.
  void WriteSettings(const std::string& path) const {
    std::ofstream file(path);
    file << "node-name=" << m_options.name << "\nrole=node\n"
         << "machine-class=front\nserves=front\nip=" << m_options.ip
         << "\nzone=" << m_options.zone << "\nregion=r\n"
         << "listen.front=" << front().str()
         << "\nlisten.ready=" << ready().str() << "\nport-range=" << m_base + 2
         << ',' << m_base + 17
         << "\nbootstrap=" << (m_options.first_start ? "true" : "false")
         << "\nloss-counts=false\nlimits.cpu-share=0.25\nlimits.cores=1\n"
            "limits.memory-mb=260\nlimits.max-fds=4100\n"
            "limits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=platform\n"
            "entry=vip\nheartbeat-ms=1200\n"
            "bounds.seed-lag-s=3\nbounds.addr-reuse-s=2\n"
            "bounds.contact-ms=3000\nbounds.ack-ms=4000\n"
            "bounds.drain-ms=2000\nbounds.grace-s=8\n"
            "bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\n"
            "bounds.rollback-slack-ms=250\nbounds.max-skew-ms=5000\n"
            "bounds.retry-budget=0.2\nbounds.budget-window-s=10\n"
            "bounds.budget-slack=58\nbounds.recover-s=12\n"
            "bounds.pass-ms=120\nbounds.retry-after-s=0\n"
            "bounds.require-fence=false\nbounds.lease-ttl-ms=3000\n"
            "bounds.thaw-ms=300\nbounds.version_ms=5000\nplatform.addr="
         << m_store.str()
         << "\nplatform.form=kv\nplatform.writes-per-s=400\n"
            "platform.reads-per-s=2000\nplatform.history-s=20\n"
            "platform.value-bytes=1048576\nplatform.ttl-min-ms=1000\n";
  }

  std::string m_program;
  std::string m_folder;
  NodeOptions m_options;
  Address m_store;
  std::uint16_t m_base = 0;
  pid_t m_pid = -1;
};

/// The limits of karabag-abone's clients.
inline Json ClientLimits() {
  return Json{{"max-header-bytes", 16'384},
              {"max-body-bytes", 4'194'304},
              {"header-timeout-ms", 3'000},
              {"idle-timeout-ms", 15'000}};
}

inline Json PlainRoute(const std::string& prefix, const std::string& kind,
                       std::int64_t timeout_ms, int attempts) {
  return Json{{"name", "r-" + kind},
              {"host", "shop.example"},
              {"prefix", prefix},
              {"kind", kind},
              {"timeout-ms", timeout_ms},
              {"slo-ms", 150},
              {"priority", 2},
              {"service", "plain"},
              {"max-attempts", attempts},
              {"sticky", false},
              {"resumable", false}};
}

inline Json PlainService() {
  return Json{{"name", "plain"},
              {"health-path", "/health"},
              {"max-conns", 110},
              {"protocol", "h1"},
              {"tls", false}};
}

/// The entry of a plain worker.
inline std::string PlainEntry(const Address& address) {
  return Json{{"service", "plain"},
              {"addr", address.str()},
              {"zone", "a"},
              {"version", "v1"},
              {"slots", 6},
              {"state", "ready"},
              {"cold-left-ms", 0},
              {"born", 1'790'000'000'000},
              {"seq", 0}}
      .dump();
}

/// What a case's program is started with: FOLDER RECORD. The environment
/// variable TROUBLE = 0 leaves the disruption out.
struct PlayOptions {
  std::string folder;
  std::string record;
  bool trouble = true;
};

/// Runs the case; returns the program's exit status.
template <class Play>
int RunCase(int argc, char** argv, Play play) {
  if (argc != 3) return kCouldNotRun;
  const char* trouble = std::getenv("TROUBLE");
  const bool is_calm = trouble && std::string(trouble) == "0";
  try {
    return play(PlayOptions{argv[1], argv[2], !is_calm});
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return kCouldNotRun;
  }
}

/// The program that the deploy file starts.
inline constexpr char kNodeProgram[] = "target/bin/yuccamoor-node";

/// A new id for each client attempt.
inline std::string NewAttempt() {
  static std::atomic<std::uint64_t> last{0x9c41d07b00000000};
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(++last));  // NOLINT
  return text;
}

}  // namespace review

#endif  // YUCCAMOOR_REVIEW_STANDINS_2_FLEET_H_
