#include "node.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <cstdlib>

namespace review {

namespace {

// The command of deploy/system.toml, from the repository's root.
constexpr char kProgram[] = "target/bin/yuccamoor-node";

// The bounds of the users' small deployments.
constexpr char kBounds[] =
    "machine-class=front\nrole=node\nserves=front\nregion=marmara\n"
    "loss-counts=false\nlimits.cpu-share=0.25\nlimits.cores=1\n"
    "limits.memory-mb=260\nlimits.max-fds=4100\nlimits.link-mbps=1000.0\n"
    "limits.disk-mb=0\ndiscovery=platform\nentry=vip\nheartbeat-ms=1200\n"
    "fault-tolerance.machines=2\nfault-tolerance.zones=0\n"
    "fault-tolerance.regions=0\nbounds.seed-lag-s=3\nbounds.addr-reuse-s=2\n"
    "bounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.catch-up-s=4\n"
    "bounds.drain-ms=2000\nbounds.grace-s=8\nbounds.loss-slack-ms=200\n"
    "bounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n"
    "bounds.max-skew-ms=5000\nbounds.retry-budget=0.2\n"
    "bounds.budget-window-s=10\nbounds.budget-slack=58\nbounds.recover-s=12\n"
    "bounds.pass-ms=120\nbounds.retry-after-s=0\nbounds.require-fence=false\n"
    "bounds.lease-ttl-ms=3000\nbounds.thaw-ms=300\n"
    "bounds.ceiling-window-s=5\nbounds.origin-overage=1.1\n"
    "bounds.version_ms=5000\nplatform.form=kv\nplatform.writes-per-s=400\n"
    "platform.reads-per-s=2000\nplatform.history-s=20\n"
    "platform.value-bytes=1048576\nplatform.ttl-min-ms=1000\n";

}  // namespace

CaseRecord::CaseRecord(const std::string& path) : m_file(path) {}

void CaseRecord::Line(const std::string& text) {
  const std::lock_guard lock(m_mutex);
  m_file << NowMs() << " ms  " << text << '\n';
  m_file.flush();
}

NodeProcess::NodeProcess(Store& store, std::string name,
                         const std::string& zone, const std::string& folder)
    : m_name(std::move(name)),
      m_zone(zone),
      m_settings(folder + "/" + m_name + ".conf"),
      m_log(folder + "/" + m_name + ".log"),
      m_store_port(store.AddDaemon(m_name)),
      m_front_port(FreePorts()),
      m_ready_port(FreePorts()),
      m_peer_port(FreePorts()) {}

NodeProcess::~NodeProcess() {
  Signal(SIGKILL);
  WaitForEnd(2'000);
}

void NodeProcess::WriteSettings(bool bootstrap) const {
  const std::string ip = "127.0.0.1";
  std::ofstream file(m_settings);
  file << "node-name=" << m_name << "\nip=" << ip << "\nzone=" << m_zone
       << "\nlisten.front=" << ip << ':' << m_front_port
       << "\nlisten.ready=" << ip << ':' << m_ready_port
       << "\nport-range=" << m_peer_port << ',' << m_peer_port + 1
       << "\nplatform.addr=" << ip << ':' << m_store_port
       << "\nbootstrap=" << (bootstrap ? "true" : "false") << '\n'
       << kBounds;
}

void NodeProcess::Start(bool bootstrap) {
  WriteSettings(bootstrap);
  const int log =
      ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  const std::string variable = "YUCCAMOOR_NODE_FILE=" + m_settings;
  m_pid = ::fork();
  if (m_pid == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    char* const arguments[] = {const_cast<char*>(kProgram), nullptr};
    char* const environment[] = {const_cast<char*>(variable.c_str()), nullptr};
    ::execve(kProgram, arguments, environment);
    ::_exit(2);
  }
  ::close(log);
}

void NodeProcess::Signal(int signal) const {
  if (m_pid > 0) ::kill(m_pid, signal);
}

bool NodeProcess::running() {
  if (m_pid <= 0) return false;
  if (::waitpid(m_pid, nullptr, WNOHANG) == 0) return true;
  m_pid = -1;
  return false;
}

bool NodeProcess::WaitForEnd(std::int64_t timeout_ms) {
  const std::int64_t until = NowMs() + timeout_ms;
  while (running()) {
    if (NowMs() >= until) return false;
    SleepMs(10);
  }
  return true;
}

bool NodeProcess::IsReady() const {
  const std::string request =
      "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
  return Ask(m_ready_port, request, 1'000).status == 200;
}

bool HasTrouble() {
  const char* trouble = std::getenv("TROUBLE");
  return !trouble || std::string(trouble) != "0";
}

std::string NextId() {
  static std::atomic<std::uint64_t> next = 0x1c41d07be2a35f68;
  constexpr char kHex[] = "0123456789abcdef";
  std::uint64_t number = next.fetch_add(0x9e3779b97f4a7c15);
  std::string id;
  for (int i = 0; i < 16; ++i, number >>= 4) id += kHex[number & 15];
  return id;
}

ClientAnswer Ask(std::uint16_t port, const std::string& request,
                 std::int64_t timeout_ms) {
  ClientAnswer answer;
  const int fd = Connect(port, timeout_ms);
  if (fd < 0) return answer;
  std::string buffer;
  if (WriteAll(fd, request) &&
      ReadMessage(fd, buffer, answer.message) == ReadEnd::kWhole) {
    answer.status = answer.message.status;
  }
  ::close(fd);
  return answer;
}

}  // namespace review
