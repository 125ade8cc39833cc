#include "node.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <fstream>
#include <stdexcept>
#include <string>
#include <utility>

namespace review {

namespace {

// The command of the deploy file.
constexpr char kProgram[] = "target/bin/yuccamoor-node";
constexpr std::int64_t kAskMs = 1'000;
constexpr std::int64_t kAskAgainMs = 50;

// Returns a port whose successor is free as well.
std::uint16_t FreePair(const std::string& ip) {
  constexpr int kTries = 100;
  for (int i = 0; i < kTries; ++i) {
    const std::uint16_t first = FreePort(ip);
    try {
      const Server probe(ip, static_cast<std::uint16_t>(first + 1),
                         [](Connection&) {});
      return first;
    } catch (const std::runtime_error&) {
      continue;
    }
  }
  throw std::runtime_error("no free ports");
}

}  // namespace

Node::Node(NodeOptions options)
    : m_options(std::move(options)),
      m_front_port(FreePort(m_options.ip)),
      m_ready_port(FreePort(m_options.ip)),
      m_first_port(FreePair(m_options.ip)) {}

Node::~Node() { Kill(); }

std::string Node::SettingsPath() const {
  return m_options.folder + "/" + m_options.name + ".conf";
}

void Node::WriteSettings() const {
  const NodeOptions& o = m_options;
  std::ofstream file(SettingsPath());
  file << "node-name=" << o.name << "\nrole=node\nmachine-class=front\n"
       << "serves=front\nip=" << o.ip << "\nzone=" << o.zone
       << "\nregion=region\nlisten.front=" << o.ip << ":" << m_front_port
       << "\nlisten.ready=" << o.ip << ":" << m_ready_port
       << "\nport-range=" << m_first_port << "," << m_first_port + 15
       << "\nbootstrap=" << (o.first_start ? "true" : "false")
       << "\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\n"
          "limits.max-fds=4100\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\n"
          "discovery=platform\nentry=vip\nheartbeat-ms=1200\n"
          "contracts=base,drain,config,cost,retry,recover,fleet,stream,engine,"
          "platform\nbounds.contact-ms=3000\nbounds.grace-s=8\n"
       << "bounds.drain-ms=" << o.drain_ms
       << "\nbounds.config-apply-ms=" << o.config_apply_ms
       << "\nbounds.lease-ttl-ms=" << o.lease_ttl_ms
       << "\nbounds.retry-budget=0.2\nbounds.budget-window-s=10\n"
       << "bounds.budget-slack=" << o.budget_slack
       << "\nbounds.version_ms=5000\nplatform.addr=" << o.store_address
       << "\nplatform.form=kv\n";
}

void Node::Start() {
  Kill();
  WriteSettings();
  const std::string settings = "YUCCAMOOR_NODE_FILE=" + SettingsPath();
  const std::string log = m_options.folder + "/" + m_options.name + ".log";
  const pid_t parent = ::getpid();
  m_process = ::fork();
  if (m_process < 0) throw std::runtime_error("cannot fork");
  if (m_process > 0) return;
  // The node must not outlive a trial that is killed.
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (::getppid() != parent) ::_exit(1);
  const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  ::dup2(out, STDOUT_FILENO);
  ::dup2(out, STDERR_FILENO);
  std::string program = kProgram;
  std::string variable = settings;
  std::array<char*, 2> arguments = {program.data(), nullptr};
  std::array<char*, 2> variables = {variable.data(), nullptr};
  ::execve(kProgram, arguments.data(), variables.data());
  ::_exit(127);
}

bool Node::IsReady() const {
  const auto connection = Connection::Open(m_options.ip, m_ready_port, kAskMs);
  if (!connection) return false;
  Message reply;
  return connection->Write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n") &&
         connection->ReadResponse(reply, kAskMs) == ReadEnd::kWhole &&
         reply.status() == 200;
}

bool Node::WaitUntilReady(std::int64_t timeout_ms) const {
  const std::int64_t deadline = NowMs() + timeout_ms;
  while (!IsReady()) {
    if (NowMs() >= deadline) return false;
    SleepMs(kAskAgainMs);
  }
  return true;
}

bool Node::IsRunning() {
  if (m_process == 0) return false;
  if (::waitpid(m_process, nullptr, WNOHANG) == 0) return true;
  m_process = 0;
  return false;
}

void Node::Signal(int signal) const {
  if (m_process > 0) ::kill(m_process, signal);
}

void Node::Kill() {
  if (m_process <= 0) return;
  ::kill(m_process, SIGKILL);
  ::waitpid(m_process, nullptr, 0);
  m_process = 0;
}

}  // namespace review
