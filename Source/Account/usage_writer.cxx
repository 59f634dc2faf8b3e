#include "Account/usage_writer.h"

#include <utility>

namespace persimmonshelf {

usage_writer::usage_writer(std::string key,
                           const usage_settings& settings,
                           table_hooks table,
                           std::function<instant()> now)
  : key_(std::move(key))
  , settings_(settings)
  , table_(std::move(table))
  , now_(std::move(now))
  , lifetime_token_(std::make_shared<usage_writer*>(this))
{
}

void
usage_writer::tick(instant now)
{
  if (in_flight_ && now - call_started_ >= settings_.call_timeout) {
    // The write may have taken effect, so the row is read again before the next write.
    in_flight_ = false;
    stored_known_ = false;
  }
  if (in_flight_ || now < next_write_at_ || written()) {
    return;
  }
  next_write_at_ = now + settings_.write_interval;
  if (stored_known_) {
    write(now);
  } else {
    read(now);
  }
}

bool
usage_writer::is_current(std::uint64_t call, const std::weak_ptr<usage_writer*>& lifetime)
{
  return !lifetime.expired() && call == last_call_;
}

void
usage_writer::read(instant now)
{
  in_flight_ = true;
  call_started_ = now;
  table_.get(key_,
             [this, call = ++last_call_, lifetime = std::weak_ptr(lifetime_token_)](
               const result<table_row>& answer) {
               if (!is_current(call, lifetime)) {
                 return;
               }
               in_flight_ = false;
               if (answer) {
                 merge_stored(answer.value());
               }
               if (stored_known_ && !written()) {
                 write(now_());
               }
             });
}

void
usage_writer::write(instant now)
{
  in_flight_ = true;
  call_started_ = now;
  table_.put(key_,
             row_.to_json(),
             revision_,
             [this, call = ++last_call_, sent = row_, lifetime = std::weak_ptr(lifetime_token_)](
               const result<table_write>& answer) {
               if (!is_current(call, lifetime)) {
                 return;
               }
               in_flight_ = false;
               if (!answer) {
                 stored_known_ = false;
                 return;
               }
               if (answer.value().written) {
                 revision_ = answer.value().row.revision;
                 stored_ = sent;
                 return;
               }
               // Another instance wrote the row in the meantime. The next tick writes the merged
               // row.
               merge_stored(answer.value().row);
               write_on_next_tick();
             });
}

void
usage_writer::merge_stored(const table_row& row)
{
  auto parsed = usage_row::parse(row.value);
  if (!parsed) {
    stored_known_ = false;
    return;
  }
  stored_ = std::move(parsed).value();
  revision_ = row.revision;
  stored_known_ = true;
  row_.merge(stored_);
}

}
