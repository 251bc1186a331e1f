// Measurement utilities of the capacity program: CPU time and heap per thread, event loops in their
// own threads, and a table of measured points with least-squares lines.
#ifndef PERIDOTGAUGE_BENCH_CAPACITY_METER_H_
#define PERIDOTGAUGE_BENCH_CAPACITY_METER_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <thread>
#include <vector>

namespace peridotgauge {

struct Point {
  double x = 0;
  double y = 0;
};

// y = base + slope * x
struct FittedLine {
  double base = 0;
  double slope = 0;
};

// Returns the least-squares line, or the mean of y with slope 0 if all x are equal.
FittedLine FitLine(const std::vector<Point>& points);

// Measured points of several quantities, printed as a table.
class CapacityReport {
 public:
  // Adds a point. `quantity` includes the unit, for example "CPU per sync, us"; `scale` names what
  // x counts.
  void Add(const std::string& quantity, const std::string& scale, double x, double y);
  // Prints a Markdown table with one row per quantity, in the order of their first Add().
  void Print(std::ostream& out) const;

 private:
  struct Row {
    std::string quantity;
    std::string scale;
    std::vector<Point> points;
  };
  std::vector<Row> rows;
};

// Returns the CPU time of the calling thread in seconds.
double ThreadCpuSeconds();

// Returns the bytes that the calling thread has allocated minus those that it has freed. Defined in
// capacity_main.cc, which replaces operator new.
int64_t LiveHeapBytes();

// An io_context that runs in its own thread. Objects that use it must be created and destroyed in
// Run().
class EventThread {
 public:
  EventThread();
  ~EventThread();
  EventThread(const EventThread&) = delete;
  EventThread& operator=(const EventThread&) = delete;

  boost::asio::io_context& Io() { return this->io; }
  // Calls `function` on the thread and waits until it returns.
  void Run(const std::function<void()>& function);
  // Returns the CPU time of the thread in seconds.
  double CpuSeconds();
  // Returns the live heap of the thread in bytes.
  int64_t HeapBytes();

 private:
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::thread thread;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_CAPACITY_METER_H_
