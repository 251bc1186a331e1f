// Measures how costs grow with size. CAPACITY.md extrapolates from the slopes to the planned size.
//
//   capacity --part=leader|router|data|raft
//
// Prints a Markdown table. All measured components run in this process and communicate over
// loopback.
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <malloc.h>

#include <cstdlib>
#include <iostream>
#include <new>

#include "bench/capacity_meter.h"
#include "bench/capacity_parts.h"

DEFINE_string(part, "router", "part to measure: leader, router, data or raft");
DEFINE_string(folder, "/tmp", "parent folder for the data folders of controllers");
DEFINE_double(seconds, 4, "duration of each measured phase of the leader");
DEFINE_string(routers, "60,120,240,480", "comma-separated numbers of routers for the leader");

namespace {

// Updated by the operators below on the thread that allocates or frees.
thread_local int64_t live_bytes = 0;

}  // namespace

// Count the usable size of each allocation, which can exceed the requested size.
void* operator new(size_t size) {
  void* memory = std::malloc(size);
  if (memory == nullptr) throw std::bad_alloc();
  live_bytes += static_cast<int64_t>(malloc_usable_size(memory));
  return memory;
}
void operator delete(void* memory) noexcept {
  live_bytes -= static_cast<int64_t>(malloc_usable_size(memory));
  std::free(memory);
}
void operator delete(void* memory, size_t) noexcept { operator delete(memory); }

namespace peridotgauge {

int64_t LiveHeapBytes() { return live_bytes; }

namespace {

std::vector<uint32_t> ParseNumberList(const std::string& list) {
  std::vector<uint32_t> numbers;
  for (size_t start = 0; start < list.size();) {
    const size_t end = std::min(list.find(',', start), list.size());
    numbers.push_back(static_cast<uint32_t>(std::stoul(list.substr(start, end - start))));
    start = end + 1;
  }
  return numbers;
}

int RunSelectedPart() {
  CapacityReport report;
  if (FLAGS_part == "leader") {
    for (const uint32_t routers : ParseNumberList(FLAGS_routers)) {
      MeasureLeader({.routers = routers, .seconds = FLAGS_seconds, .folder = FLAGS_folder}, report);
    }
  } else if (FLAGS_part == "router") {
    MeasureRouter(report);
  } else if (FLAGS_part == "data") {
    MeasureDataPath(report);
  } else if (FLAGS_part == "raft") {
    MeasureRaft(FLAGS_folder, report);
  } else {
    std::cerr << "capacity: unknown part " << FLAGS_part << "\n";
    return 2;
  }
  report.Print(std::cout);
  return 0;
}

}  // namespace
}  // namespace peridotgauge

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = google::GLOG_ERROR;
  FLAGS_logtostderr = true;
  return peridotgauge::RunSelectedPart();
}
