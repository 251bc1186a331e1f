// Least-squares fit, per-thread CPU time and event threads.
#include "bench/capacity_meter.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <ctime>
#include <future>
#include <iomanip>
#include <sstream>

namespace peridotgauge {
namespace {

std::string FormatNumber(double value) {
  std::ostringstream out;
  out << std::setprecision(4) << value;
  return out.str();
}

}  // namespace

FittedLine FitLine(const std::vector<Point>& points) {
  if (points.empty()) return {};
  const auto count = static_cast<double>(points.size());
  double mean_x = 0;
  double mean_y = 0;
  for (const Point& point : points) {
    mean_x += point.x / count;
    mean_y += point.y / count;
  }
  double covariance = 0;
  double variance = 0;
  for (const Point& point : points) {
    covariance += (point.x - mean_x) * (point.y - mean_y);
    variance += (point.x - mean_x) * (point.x - mean_x);
  }
  const double slope = variance > 0 ? covariance / variance : 0;
  return {.base = mean_y - slope * mean_x, .slope = slope};
}

void CapacityReport::Add(const std::string& quantity, const std::string& scale, double x,
                         double y) {
  auto row = std::find_if(this->rows.begin(), this->rows.end(),
                          [&](const Row& existing) { return existing.quantity == quantity; });
  if (row == this->rows.end()) {
    row = this->rows.insert(row, {.quantity = quantity, .scale = scale, .points = {}});
  }
  row->points.push_back({x, y});
}

void CapacityReport::Print(std::ostream& out) const {
  out << "| quantity | x | points (x: y) | base | slope per x |\n|---|---|---|---|---|\n";
  for (const Row& row : this->rows) {
    out << "| " << row.quantity << " | " << row.scale << " |";
    for (size_t i = 0; i < row.points.size(); ++i) {
      out << (i == 0 ? " " : ", ") << FormatNumber(row.points[i].x) << ": "
          << FormatNumber(row.points[i].y);
    }
    const FittedLine line = FitLine(row.points);
    out << " | " << FormatNumber(line.base) << " | " << FormatNumber(line.slope) << " |\n";
  }
}

double ThreadCpuSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

EventThread::EventThread()
    : work(boost::asio::make_work_guard(this->io)), thread([this] { this->io.run(); }) {}

EventThread::~EventThread() {
  this->work.reset();
  this->io.stop();
  this->thread.join();
}

void EventThread::Run(const std::function<void()>& function) {
  std::promise<void> done;
  boost::asio::post(this->io, [&] {
    function();
    done.set_value();
  });
  done.get_future().wait();
}

double EventThread::CpuSeconds() {
  double cpu = 0;
  this->Run([&] { cpu = ThreadCpuSeconds(); });
  return cpu;
}

int64_t EventThread::HeapBytes() {
  int64_t heap = 0;
  this->Run([&] { heap = LiveHeapBytes(); });
  return heap;
}

}  // namespace peridotgauge
