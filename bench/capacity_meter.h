// Measuring tools of the capacity program: CPU and heap by thread, event loops in threads, and a
// table of points with their least-squares lines.
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
struct Line {
  double base = 0;
  double slope = 0;
};

// The least-squares line; the mean with slope 0 if all x are equal.
Line FitLine(const std::vector<Point>& points);

// Points of several quantities, printed as a table.
class CapacityReport {
 public:
  // `quantity` names the unit too, for example "CPU per sync, us"; `scale` is what x counts.
  void Add(const std::string& quantity, const std::string& scale, double x, double y);
  // One row for each quantity in the order of the first Add(), in Markdown.
  void Print(std::ostream& out) const;

 private:
  struct Row {
    std::string quantity;
    std::string scale;
    std::vector<Point> points;
  };
  std::vector<Row> rows;
};

// CPU time that the calling thread has used, in seconds.
double ThreadCpuSeconds();

// Bytes that the calling thread has allocated less those that it has freed. Defined by the program,
// which replaces operator new.
int64_t LiveHeapBytes();

// An io_context that runs in a thread of its own. Objects on it are made and destroyed in Run().
class EventThread {
 public:
  EventThread();
  ~EventThread();
  EventThread(const EventThread&) = delete;
  EventThread& operator=(const EventThread&) = delete;

  boost::asio::io_context& Io() { return this->io; }
  // Calls `function` on the thread and waits for its end.
  void Run(const std::function<void()>& function);
  // CPU time in seconds and live heap in bytes of the thread.
  double Cpu();
  int64_t Heap();

 private:
  boost::asio::io_context io;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  std::thread thread;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_BENCH_CAPACITY_METER_H_
