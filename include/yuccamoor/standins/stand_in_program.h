/// \file
/// \brief What the stand-in programs share: the port, the server and the wait
/// for the signal to stop.

#ifndef YUCCAMOOR_STANDINS_STAND_IN_PROGRAM_H_
#define YUCCAMOOR_STANDINS_STAND_IN_PROGRAM_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace CLI {  // NOLINT(readability-identifier-naming)
class App;
}  // namespace CLI

namespace yuccamoor {

class HttpClient;
class StandIn;
class WorkerPool;

/// Where a stand-in listens.
struct StandInProgramOptions {
  std::string address = "127.0.0.1";
  /// Zero takes a free port.
  std::uint16_t port = 0;
  /// A file to write the port to, if not empty.
  std::string port_file;
};

/// Adds --address, --port and --port-file to the command line.
void AddStandInOptions(CLI::App& app, StandInProgramOptions& options);

/// Makes the stand-in once the command line has been read.
using StandInFactory =
    std::function<std::unique_ptr<StandIn>(WorkerPool&, HttpClient&)>;

/// Parses the command line, serves until SIGINT or SIGTERM and returns the
/// process's exit status.
int RunStandIn(CLI::App& app, int argc, char** argv,
               const StandInProgramOptions& options,
               const StandInFactory& make);

}  // namespace yuccamoor

#endif  // YUCCAMOOR_STANDINS_STAND_IN_PROGRAM_H_
