// What each router knows of the directory, and who waits for that.
//
// Use:
//   publication.Note("r1", version);                        // from each sync request
//   publication.Await(directory.Version(), now + limit, responder);
//   publication.Answer(now, publication.UpTo(now, directory.Version(), sessions.Sessions()));
//
// Contract: a waiting reply is called exactly once, with true when every router with a session
// holds the version or the limit has passed, or with false by FailAll().
#ifndef PERIDOTGAUGE_STATE_PUBLICATION_H_
#define PERIDOTGAUGE_STATE_PUBLICATION_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "core/types.h"
#include "state/session.h"

namespace peridotgauge {

class Publication {
 public:
  using Reply = std::function<void(bool published)>;

  // Forgets what routers know; nobody may be waiting.
  void Begin() { this->known.clear(); }
  // The router holds this version of the directory.
  void Note(const std::string& router, uint64_t version) { this->known[router] = version; }
  // The version, at most `current`, that every router with a live session holds.
  uint64_t UpTo(Time now, uint64_t current, const std::map<std::string, Session>& sessions) const;

  void Await(uint64_t version, Time limit, Reply reply) {
    this->waiting.push_back({version, limit, std::move(reply)});
  }
  // Answers those that wait for `published` or less, or whose limit has passed.
  void Answer(Time now, uint64_t published);
  void FailAll();
  bool Awaited() const { return !this->waiting.empty(); }

 private:
  struct Waiting {
    uint64_t version = 0;
    Time limit;
    Reply reply;
  };

  std::map<std::string, uint64_t> known;  // by router
  std::vector<Waiting> waiting;
};

}  // namespace peridotgauge

#endif  // PERIDOTGAUGE_STATE_PUBLICATION_H_
