// Writes the record of a case.
#include "review/standins-2/record.h"

#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace peridotgauge::review {

Record::Record(const std::string& path) : file(path) {}

int64_t Record::Elapsed() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() -
                                                               this->start)
      .count();
}

void Record::Write(const std::string& line) {
  std::ostringstream text;
  text << std::fixed << std::setprecision(3) << static_cast<double>(this->Elapsed()) / 1000 << " "
       << line << "\n";
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->file << text.str() << std::flush;
  std::cout << text.str() << std::flush;
}

void SleepMs(int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

}  // namespace peridotgauge::review
