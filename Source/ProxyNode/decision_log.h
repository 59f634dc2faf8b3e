#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace persimmonshelf {

// A value as a line shows it: at most 512 bytes of the text, and U+FFFD for each byte that is not
// part of a character in UTF-8, so that every line is valid JSON. Texts of callers may be any
// bytes.
std::string
log_text(std::string_view value);

// Structured log on standard output, one JSON object per line. A bounded queue passes the lines to
// a writer thread. When the queue is full or the limit of lines per second is reached, lines are
// dropped and counted, so a blocked reader of the log never delays a request.
class decision_log
{
public:
  using field = std::pair<std::string_view, std::string>;

  explicit decision_log(std::string instance);
  ~decision_log();
  decision_log(const decision_log&) = delete;
  decision_log& operator=(const decision_log&) = delete;

  // Must always be called on the same thread.
  void write(std::string_view event, std::initializer_list<field> fields);

  // Sets a function that is called with the event of each line, whether written or dropped.
  void set_event_counter(std::function<void(const std::string& event)> count)
  {
    count_event_ = std::move(count);
  }

  std::uint64_t dropped() const { return dropped_; }

private:
  void run_writer();
  bool within_budget();

  std::string instance_;
  std::function<void(const std::string& event)> count_event_;
  boost::lockfree::spsc_queue<std::string*> lines_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::condition_variable wakeup_;
  std::atomic<bool> writer_waiting_{ false };
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_drops_ = 0;
  std::int64_t budget_second_ = 0;
  std::uint32_t budget_used_ = 0;
  std::thread writer_;
};

}
