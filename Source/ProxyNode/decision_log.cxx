#include "ProxyNode/decision_log.h"

#include "Base/utf8.h"
#include "ProxyNode/boot_clock.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <unistd.h>

#include <chrono>
#include <memory>

namespace persimmonshelf {

namespace {

constexpr std::size_t queue_capacity_lines = 1024;
// Covers every refusal of a busy instance at a small share of its processor time.
constexpr std::uint32_t max_lines_per_second = 200;
// Texts of callers may have up to 1 MiB. The longest text of the proxy itself has fewer bytes.
constexpr std::size_t max_field_bytes = 512;
// Bounds the delay of a line, or of the shutdown, after a missed notification: the writer is
// notified without holding the mutex.
constexpr auto max_writer_wait = std::chrono::milliseconds(500);

void
write_all(const std::string& line)
{
  std::size_t written = 0;
  while (written < line.size()) {
    const auto count = ::write(STDOUT_FILENO, line.data() + written, line.size() - written);
    if (count <= 0) {
      // Standard output is closed, and no other channel exists to report it.
      return;
    }
    written += static_cast<std::size_t>(count);
  }
}

}

std::string
log_text(std::string_view value)
{
  constexpr std::string_view replacement_character = "\xef\xbf\xbd";
  return replace_invalid_utf8(value.substr(0, max_field_bytes), replacement_character);
}

decision_log::decision_log(std::string instance)
  : instance_(std::move(instance))
  , lines_(queue_capacity_lines)
  , writer_([this] { run_writer(); })
{
}

decision_log::~decision_log()
{
  stopping_ = true;
  wakeup_.notify_one();
  writer_.join();
  std::string* line = nullptr;
  while (lines_.pop(line)) {
    delete line;
  }
}

bool
decision_log::within_budget()
{
  const auto second =
    std::chrono::duration_cast<std::chrono::seconds>(boot_now().time_since_epoch()).count();
  if (second != budget_second_) {
    budget_second_ = second;
    budget_used_ = 0;
  }
  return ++budget_used_ <= max_lines_per_second;
}

void
decision_log::write(std::string_view event, std::initializer_list<field> fields)
{
  if (count_event_) {
    count_event_(std::string(event));
  }
  if (!within_budget()) {
    ++dropped_;
    return;
  }
  boost::json::object object;
  object["ms"] =
    std::chrono::duration_cast<std::chrono::milliseconds>(boot_now().time_since_epoch()).count();
  object["instance"] = instance_;
  object["event"] = event;
  for (const auto& [name, value] : fields) {
    object[name] = log_text(value);
  }
  if (dropped_ != reported_drops_) {
    object["lines_dropped"] = dropped_;
    reported_drops_ = dropped_;
  }
  auto line = std::make_unique<std::string>(boost::json::serialize(object) + "\n");
  if (!lines_.push(line.get())) {
    ++dropped_;
    return;
  }
  // The writer thread deletes the line.
  static_cast<void>(line.release());
  if (writer_waiting_) {
    wakeup_.notify_one();
  }
}

void
decision_log::run_writer()
{
  while (true) {
    std::string* next = nullptr;
    if (lines_.pop(next)) {
      const std::unique_ptr<std::string> line(next);
      write_all(*line);
      continue;
    }
    if (stopping_) {
      return;
    }
    std::unique_lock lock(mutex_);
    writer_waiting_ = true;
    wakeup_.wait_for(
      lock, max_writer_wait, [this] { return stopping_ || lines_.read_available() > 0; });
    writer_waiting_ = false;
  }
}

}
