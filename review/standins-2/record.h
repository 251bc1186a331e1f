// The record of a case: what was sent, answered and run, with the time since the start.
//
// Use:
//   Record record(folder + "/record.txt");
//   record.Write("PUT /config version 2 -> 200");
//
// Contract: thread-safe.
#ifndef PERIDOTGAUGE_REVIEW_STANDINS_2_RECORD_H_
#define PERIDOTGAUGE_REVIEW_STANDINS_2_RECORD_H_

#include <chrono>
#include <fstream>
#include <mutex>
#include <string>

namespace peridotgauge::review {

class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);
  // Returns the milliseconds since the start.
  int64_t Elapsed() const;

 private:
  const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
  std::mutex mutex;
  std::ofstream file;
};

// Waits without using the processor.
void SleepMs(int64_t ms);

}  // namespace peridotgauge::review

#endif  // PERIDOTGAUGE_REVIEW_STANDINS_2_RECORD_H_
