// A stand-in for backends: answers requests as PROTOCOL.md says and sends pings.
//
// Use:
//   Server server({.service = "orders-1", .id = "i-1", .address = "127.40.1.101:8080"}, record);
//   server.Register(deployment);    // pings until the end
//   for (const Run& run : server.Runs()) ...
//
// Contract: a thread for each connection, and one for the pings. The stamp of an answer names the
// service, the server and the request, so that a caller can tell where it comes from.
#ifndef PERIDOTGAUGE_REVIEW_STANDINS_2_SERVER_H_
#define PERIDOTGAUGE_REVIEW_STANDINS_2_SERVER_H_

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/standins-2/deployment.h"
#include "review/standins-2/http.h"
#include "review/standins-2/record.h"

namespace peridotgauge::review {

struct ServerOptions {
  std::string service;
  std::string id;
  std::string address;
  std::string zone = "perth-a";
  int64_t work_ms = 5;
  bool recorded = true;  // each run is written to the record
  // If not empty: sent in place of an answer, with the second text again and again until the
  // connection ends.
  std::string faulty_begin = {};
  std::string faulty_repeat = {};
};

// One request that the server has run.
struct Run {
  std::string request_id;
  std::string path;
};

class Server {
 public:
  Server(ServerOptions options, Record& record);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  // Sends pings to the controllers until one confirms, then every second.
  void Register(Deployment& deployment);
  // Ends the pings, as a server does that leaves.
  void StopPings() { this->pinging = false; }
  // Returns how many pings were confirmed.
  int ConfirmedPings() const { return this->confirmed_pings; }
  std::vector<Run> Runs();
  const ServerOptions& Options() const { return this->options; }

 private:
  void AcceptLoop();
  void Serve(int fd);
  Answer Handle(const std::string& method, const std::string& path, const Headers& headers);
  void PingLoop(Deployment& deployment);

  const ServerOptions options;
  Record& record;
  int listener = -1;
  std::atomic<bool> stopping = false;
  std::atomic<bool> pinging = true;
  std::atomic<int> confirmed_pings = 0;
  std::mutex mutex;
  std::vector<Run> runs;
  std::list<std::thread> threads;
};

}  // namespace peridotgauge::review

#endif  // PERIDOTGAUGE_REVIEW_STANDINS_2_SERVER_H_
