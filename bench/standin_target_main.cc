// Runs stand-in targets on loopback for tests and benchmarks.
//
//   standin_target --targets=targets.json [--admin=127.0.0.1:9000] [--seed=1]
//
// bench/standin_options.h documents the file format. On the admin address, GET /standin returns an
// array with the reports of all targets, and POST /standin applies switches to the target named by
// the member "target" of the body, or to all targets without it. Each target also serves /standin
// on its own port.
#include <gflags/gflags.h>
#include <glog/logging.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include "bench/standin_options.h"
#include "bench/standin_target.h"
#include "core/caller_api.h"
#include "core/json_text.h"
#include "io/http_server.h"

DEFINE_string(targets, "", "JSON file with the targets (format: bench/standin_options.h)");
DEFINE_string(routers, "",
              "comma-separated addresses of routers to register with; overrides the file");
DEFINE_string(admin, "",
              "listen address for the reports and switches of all targets; empty: disabled");
DEFINE_uint64(seed, 1, "random seed for service times and registration");

namespace peridotgauge {
namespace {

using Targets = std::vector<std::unique_ptr<StandinTarget>>;
constexpr size_t kMaxNameLength = 200;

std::vector<Address> SplitList(std::string_view list) {
  std::vector<Address> items;
  while (!list.empty()) {
    const std::string_view item = list.substr(0, list.find(','));
    if (!item.empty()) items.emplace_back(item);
    list.remove_prefix(std::min(list.size(), item.size() + 1));
  }
  return items;
}

std::string FormatReports(const Targets& targets) {
  std::string text = "[";
  for (const auto& target : targets) {
    if (text.size() > 1) text += ",";
    text += target->Report();
  }
  return text + "]";
}

Result<void> ApplySwitches(const Targets& targets, const std::string& body) {
  JsonReader reader(body, "standin");
  const std::string name = reader.Has("target") ? reader.String("target", 1, kMaxNameLength) : "";
  const Result<std::string> read = reader.Finish(name);
  if (!read) return tl::unexpected<Error>(read.error());
  size_t changed = 0;
  for (const auto& target : targets) {
    if (!name.empty() && target->Name() != name) continue;
    if (auto result = target->ApplySwitches(body); !result) return result;
    ++changed;
  }
  if (changed == 0) return Fail(ErrorCode::kNotFound, "standin: target: unknown");
  return {};
}

void HandleAdmin(const Targets& targets, const HttpRequest& request,
                 const HttpResponder& responder) {
  if (request.path != "/standin") {
    responder.Send(ErrorResponse({ErrorCode::kNotFound, request.path}, ""));
    return;
  }
  if (request.method == "POST") {
    const Result<void> changed = ApplySwitches(targets, request.body);
    if (!changed) {
      responder.Send(ErrorResponse(changed.error(), ""));
      return;
    }
  }
  responder.Send(JsonResponse(200, FormatReports(targets)));
}

int PrintError(const Error& error) {
  std::cerr << error.ToString() << "\n";
  return InfoOf(error.code).exit_code;
}

int RunTargets() {
  std::ifstream file(FLAGS_targets, std::ios::binary);
  if (!file) return PrintError({ErrorCode::kBadRequest, "--targets: cannot read " + FLAGS_targets});
  const std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  Result<StandinDeployment> deployment = ParseStandinDeployment(text);
  if (!deployment) return PrintError(deployment.error());
  if (!FLAGS_routers.empty()) deployment->routers = SplitList(FLAGS_routers);

  boost::asio::io_context io;
  RegistrationClients clients(io);
  Targets targets;
  for (size_t i = 0; i < deployment->targets.size(); ++i) {
    targets.push_back(std::make_unique<StandinTarget>(io, clients, deployment->targets[i],
                                                      deployment->routers, FLAGS_seed + i));
    if (const auto started = targets.back()->Start(); !started) return PrintError(started.error());
  }
  std::unique_ptr<HttpServer> admin;
  if (!FLAGS_admin.empty()) {
    auto listening = HttpServer::Listen(
        io, FLAGS_admin, [&targets](const HttpRequest& request, const HttpResponder& responder) {
          HandleAdmin(targets, request, responder);
        });
    if (!listening) return PrintError(listening.error());
    admin = std::move(*listening);
  }
  boost::asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&](const boost::system::error_code&, int) { io.stop(); });
  std::cout << targets.size() << " targets are up\n" << std::flush;
  io.run();
  return 0;
}

}  // namespace
}  // namespace peridotgauge

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  gflags::SetUsageMessage("--targets=FILE [--routers=A,B] [--admin=ADDRESS] [--seed=N]");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return peridotgauge::RunTargets();
}
