// The command-line tool of operators and callers.
//
// Exit status: 0 success; 1 rejected or failed; 2 invalid input or usage; 3 conflict: a different
// configuration was accepted under this revision; 4 outcome unknown: the response was lost, or the
// configuration is accepted but not yet in force; 5 unavailable: not executed, may be retried.
#include <gflags/gflags.h>

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <sstream>
#include <thread>

#include "core/caller_api.h"
#include "core/cli_format.h"
#include "core/config.h"
#include "core/explain.h"
#include "core/json_text.h"
#include "core/operator_api.h"
#include "core/span.h"
#include "core/trace_tree.h"
#include "io/cli_client.h"
#include "io/clock.h"
#include "io/random_seed.h"

DEFINE_string(addresses, "",
              "addresses of the system, separated by commas and tried in turn; by default those of "
              "the environment variable PERIDOTGAUGE_ADDRESSES");
DEFINE_bool(json, false, "print the response as JSON");
DEFINE_uint32(wait_ms, 5000, "apply: how long to wait until the configuration is in force");
DEFINE_uint32(timeout_ms, 10000, "timeout for a response from one address");
DEFINE_string(request_id, "", "order, search: the request id; a random one by default");
DEFINE_int64(issued_at_ms, 0, "order: issue time in Unix milliseconds; now by default");
DEFINE_uint32(deadline_ms, 0,
              "order, search, explain: deadline; that of the service or route by default");
DEFINE_string(key_file, "",
              "order, search, explain: file with the key of a workspace, which the caller sends");
DEFINE_string(workspace, "", "explain: the caller's workspace, in place of a key");
DEFINE_string(span_files, "", "trace: span files, separated by commas");
DEFINE_string(author, "", "apply: name for the history; the login name by default");

namespace peridotgauge {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitUnknown = 4;
constexpr Duration kInForcePollInterval = Millis(100);

using Arguments = std::vector<std::string>;

// Prints the error and returns its exit status.
int Report(const Error& error) {
  std::cerr << error.ToString() << "\n";
  return InfoOf(error.code).exit_code;
}

// Prints the error body of an HTTP response and returns its exit status.
int ReportResponse(const HttpResponse& response) {
  if (FLAGS_json) std::cout << response.body << "\n";
  const ErrorBody error_body = ParseErrorBody(response.status, response.body);
  std::cerr << error_body.error.ToString() << (error_body.not_run ? " (not run)" : "") << "\n";
  return InfoOf(error_body.error.code).exit_code;
}

Result<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return Fail(ErrorCode::kBadRequest, path + ": the file cannot be read");
  return std::string((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
}

Result<Config> ReadConfig(const std::string& path) {
  const Result<std::string> text = ReadFile(path);
  if (!text) return tl::unexpected(text.error());
  Result<Config> config = Config::Parse(*text);
  if (!config) return Fail(config.error().code, path + ": " + config.error().detail);
  return config;
}

Result<CliClient> MakeClient() {
  std::string list = FLAGS_addresses;
  const char* environment = std::getenv("PERIDOTGAUGE_ADDRESSES");
  if (list.empty() && environment != nullptr) list = environment;
  const Result<std::vector<Address>> addresses = ParseAddresses(list);
  if (!addresses) return tl::unexpected(addresses.error());
  if (addresses->empty()) {
    return Fail(ErrorCode::kBadRequest,
                "no addresses; give --addresses=IP:PORT,... or set PERIDOTGAUGE_ADDRESSES");
  }
  return CliClient(*addresses, Millis(FLAGS_timeout_ms));
}

// Sends a GET and returns the body of a successful response. Otherwise prints the error, sets
// `exit` and returns nullopt.
std::optional<std::string> Get(const std::string& path, const std::string& query, int& exit) {
  Result<CliClient> client = MakeClient();
  if (!client) {
    exit = Report(client.error());
    return std::nullopt;
  }
  const Result<HttpResponse> response =
      client->Call({.method = "GET", .path = path, .query = query});
  if (!response) {
    exit = Report(response.error());
    return std::nullopt;
  }
  if (response->status != 200) {
    exit = ReportResponse(*response);
    return std::nullopt;
  }
  exit = kExitOk;
  return response->body;
}

// Sends a GET and prints the response, as JSON or formatted by `format`.
int Print(const std::string& path, std::string (*format)(const std::string&)) {
  int exit = kExitOk;
  if (const auto body = Get(path, "", exit)) {
    std::cout << (FLAGS_json ? *body + "\n" : format(*body));
  }
  return exit;
}

// --- Commands ---

int Check(const Arguments& arguments) {
  const Result<Config> config = ReadConfig(arguments[0]);
  if (!config) return Report(config.error());
  std::cout << arguments[0] << ": valid, revision " << config->Revision() << ", "
            << config->Services().size() << " services in " << config->Fleets().size()
            << " fleets, digest " << FormatDigest(config->Digest()) << "\n";
  return kExitOk;
}

// Returns the member `text` of a response to GET /v1/config; empty before the first revision.
std::string CurrentText(const std::string& json) {
  const Result<JsonObject> object = JsonObject::Parse(json, "configuration response");
  if (!object || !object->Has("text")) return "";
  return object->String("text", 0, kMaxConfigBytes).value_or("");
}

int Diff(const Arguments& arguments) {
  const Result<Config> after = ReadConfig(arguments[0]);
  if (!after) return Report(after.error());
  int exit = kExitOk;
  const auto body = Get("/v1/config", "", exit);
  if (!body) return exit;
  const std::string text = CurrentText(*body);
  const Result<Config> before = text.empty() ? Config() : Config::Parse(text);
  if (!before) return Report(before.error());
  const std::vector<std::string> lines = DiffConfigs(*before, *after);
  if (lines.empty()) std::cout << "no differences\n";
  for (const std::string& line : lines) std::cout << line << "\n";
  return kExitOk;
}

// Polls until the revision is in force or --wait_ms has passed. Returns the exit status.
int WaitInForce(uint64_t revision) {
  const Time limit = SteadyNow() + Millis(FLAGS_wait_ms);
  InForceResponse latest;
  while (true) {
    int exit = kExitOk;
    const auto body = Get("/v1/config/in_force", "revision=" + std::to_string(revision), exit);
    const auto parsed = body ? ParseInForce(*body) : Fail(ErrorCode::kUnknownOutcome);
    if (parsed) latest = *parsed;
    if (parsed && parsed->in_force) {
      std::cout << "revision " << revision << " is in force everywhere\n";
      return kExitOk;
    }
    if (SteadyNow() >= limit) break;
    std::this_thread::sleep_for(kInForcePollInterval);
  }
  std::cerr << "revision " << revision << " is accepted, but not yet in force";
  for (const std::string& router : latest.waiting) std::cerr << " " << router;
  std::cerr << "\n";
  return kExitUnknown;
}

int Apply(const Arguments& arguments) {
  const Result<Config> config = ReadConfig(arguments[0]);
  if (!config) return Report(config.error());
  Result<CliClient> client = MakeClient();
  if (!client) return Report(client.error());
  const char* login = std::getenv("USER");
  const std::string author = FLAGS_author.empty() && login != nullptr ? login : FLAGS_author;
  const Result<HttpResponse> response = client->Call({.method = "POST",
                                                      .path = "/v1/config",
                                                      .headers = {{"x-author", author}},
                                                      .body = config->Text()});
  if (!response) {
    std::cerr << "apply the same file again to learn whether it was accepted\n";
    return Report(response.error());
  }
  if (response->status != 200) return ReportResponse(*response);
  const Result<ApplyResponse> parsed = ParseApplyResponse(response->body);
  if (!parsed) return Report(parsed.error());
  if (FLAGS_json) std::cout << response->body << "\n";
  std::cout << "revision " << parsed->revision
            << (parsed->repeated ? " was accepted before; this is its original outcome\n"
                                 : " is accepted\n");
  return WaitInForce(parsed->revision);
}

int GetConfig(const Arguments& arguments) {
  int exit = kExitOk;
  const std::string query = arguments.empty() ? "" : "revision=" + arguments[0];
  const auto body = Get("/v1/config", query, exit);
  if (!body) return exit;
  const std::string text = CurrentText(*body);
  if (FLAGS_json) {
    std::cout << *body << "\n";
  } else if (text.empty()) {
    std::cout << "no configuration has been accepted yet\n";
  } else {
    std::cout << text << (text.back() == '\n' ? "" : "\n");
  }
  return exit;
}

int History(const Arguments&) { return Print("/v1/config/history", FormatHistoryTable); }
int Status(const Arguments&) { return Print("/v1/status", FormatStatusReport); }
int Targets(const Arguments&) { return Print("/v1/targets", FormatTargetTable); }

std::optional<Duration> DeadlineFlag() {
  if (FLAGS_deadline_ms == 0) return std::nullopt;
  return Millis(FLAGS_deadline_ms);
}

// Reads a key without the line break at its end.
Result<std::string> ReadKey(const std::string& path) {
  Result<std::string> key = ReadFile(path);
  if (!key) return key;
  const size_t end = key->find_last_not_of(" \t\r\n");
  key->resize(end == std::string::npos ? 0 : end + 1);
  if (key->empty()) return Fail(ErrorCode::kBadRequest, path + ": the file has no key");
  return key;
}

// Returns the headers of a search or order.
Result<std::vector<HttpHeader>> CallerHeaders() {
  if (FLAGS_key_file.empty()) return std::vector<HttpHeader>();
  Result<std::string> key = ReadKey(FLAGS_key_file);
  if (!key) return tl::unexpected(key.error());
  if (!IsVisibleAscii(*key)) {
    return Fail(ErrorCode::kBadRequest,
                FLAGS_key_file + ": the key has characters that a header cannot have");
  }
  return std::vector<HttpHeader>{{std::string(kKeyHeader), std::move(*key)}};
}

int Search(const Arguments& arguments) {
  const Result<std::vector<HttpHeader>> headers = CallerHeaders();
  if (!headers) return Report(headers.error());
  Result<CliClient> client = MakeClient();
  if (!client) return Report(client.error());
  const SearchRequest request{.service = arguments[0],
                              .query = arguments[1],
                              .deadline = DeadlineFlag(),
                              .request_id = FLAGS_request_id};
  const Result<HttpResponse> response =
      client->CallListedRouters({.method = "POST",
                                 .path = "/v1/search",
                                 .headers = *headers,
                                 .body = FormatSearchRequest(request)});
  if (!response) return Report(response.error());
  if (response->status != 200) return ReportResponse(*response);
  const Result<SearchResponse> parsed = ParseSearchResponse(response->body);
  if (!parsed) return Report(parsed.error());
  std::cout << (FLAGS_json ? response->body + "\n" : FormatSearchReport(*parsed));
  return kExitOk;
}

int Explain(const Arguments& arguments) {
  ExplainRequest request{.method = arguments[0], .host = arguments[1], .path = arguments[2]};
  if (!FLAGS_workspace.empty()) request.workspace = FLAGS_workspace;
  if (!FLAGS_key_file.empty()) {
    const Result<std::string> key = ReadKey(FLAGS_key_file);
    if (!key) return Report(key.error());
    request.key = *key;
  }
  request.deadline = DeadlineFlag();
  const std::string body = FormatExplainRequest(request);
  if (const auto valid = ParseExplainRequest(body); !valid) return Report(valid.error());
  Result<CliClient> client = MakeClient();
  if (!client) return Report(client.error());
  const Result<HttpResponse> response =
      client->Call({.method = "POST", .path = "/v1/explain", .body = body});
  if (!response) return Report(response.error());
  if (response->status != 200) return ReportResponse(*response);
  std::cout << (FLAGS_json ? response->body + "\n" : FormatExplanationReport(response->body));
  return kExitOk;
}

std::string RandomRequestId() {
  std::mt19937_64 random(RandomSeed());
  return ToHex(TraceId{random(), random()});
}

int64_t IssueTime() { return FLAGS_issued_at_ms != 0 ? FLAGS_issued_at_ms : UnixMillis(); }

int Order(const Arguments& arguments) {
  const Result<std::vector<HttpHeader>> headers = CallerHeaders();
  if (!headers) return Report(headers.error());
  Result<CliClient> client = MakeClient();
  if (!client) return Report(client.error());
  const OrderRequest request{
      .service = arguments[0],
      .request_id = FLAGS_request_id.empty() ? RandomRequestId() : FLAGS_request_id,
      .issued_at_ms = IssueTime(),
      .body = arguments[1],
      .deadline = DeadlineFlag()};
  const Result<HttpResponse> response =
      client->CallListedRouters({.method = "POST",
                                 .path = "/v1/order",
                                 .headers = *headers,
                                 .body = FormatOrderRequest(request)});
  const auto print_retry_hint = [&] {
    std::cerr << "to send the same order again: --request_id=" << request.request_id
              << " --issued_at_ms=" << request.issued_at_ms << "\n";
  };
  if (!response) {
    print_retry_hint();
    return Report(response.error());
  }
  if (response->status != 200) {
    print_retry_hint();
    return ReportResponse(*response);
  }
  const Result<OrderResponse> parsed = ParseOrderResponse(response->body);
  if (!parsed) return Report(parsed.error());
  if (FLAGS_json) {
    std::cout << response->body << "\n";
    return kExitOk;
  }
  std::cout << "order " << parsed->request_id << ": done"
            << (parsed->replayed ? " (recorded outcome of an earlier run)" : "") << "\n"
            << parsed->body << "\n";
  return kExitOk;
}

int Trace(const Arguments& arguments) {
  std::vector<Span> spans;
  std::stringstream files(FLAGS_span_files);
  for (std::string path; std::getline(files, path, ',');) {
    std::ifstream file(path);
    if (!file) return Report({ErrorCode::kBadRequest, path + ": the file cannot be read"});
    for (std::string line; std::getline(file, line);) {
      if (Result<Span> span = ParseSpan(line)) spans.push_back(std::move(*span));
    }
  }
  if (FLAGS_span_files.empty()) {
    return Report(
        {ErrorCode::kBadRequest, "give --span_files=FILE,... (span_file of the settings)"});
  }
  const std::optional<TraceId> trace = FindTrace(spans, arguments[0]);
  const std::string drawing = trace ? FormatTraceTree(spans, *trace) : "";
  if (drawing.empty()) {
    return Report({ErrorCode::kNotFound, "no span of trace or request \"" + arguments[0] + "\""});
  }
  std::cout << "    start      duration   trace " << ToHex(*trace) << "\n" << drawing;
  return kExitOk;
}

// --- Command table ---

struct Command {
  std::string_view name;
  size_t min_arguments;
  size_t max_arguments;
  std::string_view usage;
  int (*run)(const Arguments&);
};

constexpr Command kCommands[] = {
    {"check", 1, 1, "check FILE             validate a configuration", Check},
    {"diff", 1, 1, "diff FILE              compare a file with the current configuration", Diff},
    {"apply", 1, 1, "apply FILE             apply a configuration and wait until it is in force",
     Apply},
    {"get", 0, 1, "get [REVISION]         print a configuration", GetConfig},
    {"history", 0, 0, "history                list the accepted revisions", History},
    {"status", 0, 0, "status                 show controllers, routers, ledger, directory", Status},
    {"targets", 0, 0, "targets                list the registered targets", Targets},
    {"search", 2, 2, "search SERVICE JSON    send a search", Search},
    {"order", 2, 2, "order SERVICE JSON     send an order, which is executed at most once", Order},
    {"explain", 3, 3,
     "explain METHOD HOST PATH\n                         "
     "say where a request would go now, and why; asks a router's metrics address",
     Explain},
    {"trace", 1, 1, "trace ID               show the spans of a trace or request id", Trace},
};

std::string Usage() {
  std::string text = "COMMAND [ARGUMENTS] [FLAGS]\n\n";
  for (const Command& command : kCommands) text += "  " + std::string(command.usage) + "\n";
  return text +
         "\nExit status: 0 success, 1 rejected or failed, 2 invalid input, 3 conflict, 4 outcome\n"
         "unknown, 5 unavailable (not executed). --helpshort lists the flags.";
}

int RunCommand(const Arguments& words) {
  for (const Command& command : kCommands) {
    if (words.empty() || words[0] != command.name) continue;
    const Arguments arguments(words.begin() + 1, words.end());
    if (arguments.size() >= command.min_arguments && arguments.size() <= command.max_arguments) {
      return command.run(arguments);
    }
    std::cerr << "usage: peridotgauge " << command.usage << "\n";
    return kExitUsage;
  }
  if (!words.empty()) std::cerr << "unknown command \"" << words[0] << "\"\n";
  std::cerr << "usage: peridotgauge " << Usage() << "\n";
  return kExitUsage;
}

}  // namespace
}  // namespace peridotgauge

int main(int argc, char** argv) {
  gflags::SetUsageMessage(peridotgauge::Usage());
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return peridotgauge::RunCommand(peridotgauge::Arguments(argv + 1, argv + argc));
}
