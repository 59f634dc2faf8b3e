#include "ProxyNode/relay_router.h"

#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

// A session that finds no carrier within this time is refused.
constexpr duration begin_timeout = std::chrono::milliseconds(700);
// After this many redirects the next carrier runs the session. Instances may have different sets of
// carriers for a short time and would otherwise redirect it again.
constexpr unsigned redirect_limit = 2;
// Limit of cached routing keys. Carriers send dropped ones again.
constexpr std::size_t redirect_key_limit = 4096;
// Limit of the first messages and keys in the cache, in bytes. Usual ones have less than 100.
constexpr std::size_t redirect_bytes_limit = 1 << 20;
// Part of a message that is kept for the log, in bytes: the request's id is near its begin.
constexpr std::size_t kept_line_bytes = 256;
// Longest answer that is collected for a caller, in bytes. The caller's connection takes no longer
// ones either.
constexpr std::size_t answer_limit_bytes = 4 << 20;
// Number of messages that a caller may send before the carrier answers its first one.
constexpr std::size_t queued_line_limit = 16;
// Sessions move back to their assigned carrier this long after the last change: most restarts come
// in series, and each move costs the caller a reconnect.
constexpr duration placement_settling_time = std::chrono::seconds(3);
// Interval between two checks of a session's placement while the placement is not settled.
constexpr duration placement_check_period = std::chrono::milliseconds(500);

}

// One caller's session that runs on a carrier.
class relay_router::session : public std::enable_shared_from_this<relay_router::session>
{
public:
  session(relay_router& router, caller_output output)
    : router_(router)
    , output_(std::move(output))
  {
    if (router_.hooks_.open_account && output_.abort) {
      account_ = router_.hooks_.open_account(output_.abort);
    }
  }

  void handle_line(std::string_view line)
  {
    if (closed_) {
      return;
    }
    if (first_line_.empty()) {
      first_line_ = std::string(line);
      began_at_ = boot_now();
      open();
      return;
    }
    if (!ready_) {
      if (queued_lines_.size() >= queued_line_limit) {
        finish();
        return;
      }
      queued_lines_.emplace_back(line);
      return;
    }
    if (!platform::ends_session(line)) {
      ++unanswered_;
      last_line_ = std::string(line.substr(0, kept_line_bytes));
    }
    connection_->send(stream_, line);
  }

  void tick(instant now)
  {
    if (closed_ || first_line_.empty()) {
      return;
    }
    if (!connection_) {
      if (now - began_at_ > begin_timeout) {
        router_.log_.write("session_refused",
                           { { "reason", "no carrier can be reached" },
                             { "carriers", std::to_string(router_.plan_.carriers.size()) },
                             { "plan", std::to_string(router_.plan_.version) } });
        output_.write(
          platform::encode_error(statement_error::busy, "no instance can run the session"));
        finish();
      } else {
        open();
      }
    }
  }

  // True if the session's next statement should begin a new session elsewhere.
  bool should_move(instant now)
  {
    return !closed_ && connection_ && idle() && (connection_->leaving() || is_misplaced(now));
  }

  bool idle() const { return between_statements() && state_ == transaction_state::idle; }
  bool between_statements() const { return first_line_.empty() || (ready_ && unanswered_ == 0); }

  void disconnect()
  {
    if (!std::exchange(closed_, true) && connection_) {
      connection_->close(stream_);
    }
  }

private:
  void open()
  {
    connection_ = router_.connection_for(router_.routing_key_for(first_line_));
    if (!connection_) {
      return;
    }
    placement_revision_ = router_.placement_revision();
    std::weak_ptr<session> weak = weak_from_this();
    stream_ = connection_->open(first_line_,
                                redirect_count_ >= redirect_limit,
                                { [weak](std::string_view line) {
                                   if (const auto self = weak.lock()) {
                                     self->handle_answer(line);
                                   }
                                 },
                                  [weak](const std::string& routing_key) {
                                    if (const auto self = weak.lock()) {
                                      self->handle_redirect(routing_key);
                                    }
                                  },
                                  [weak](carrier_connection::end_reason reason) {
                                    if (const auto self = weak.lock()) {
                                      self->handle_close(reason);
                                    }
                                  } });
  }

  // True if the session should run on another carrier. An idle session is then closed, and its
  // caller's next one begins there.
  bool is_misplaced(instant now)
  {
    if (placement_revision_ == router_.placement_revision() || now < next_placement_check_) {
      return false;
    }
    next_placement_check_ = now + placement_check_period;
    if (!router_.placement_is_settled(now)) {
      return false;
    }
    placement_revision_ = router_.placement_revision();
    const auto assigned = router_.assigned_carrier(router_.routing_key_for(first_line_));
    return assigned && router_.connection_to(*assigned) != connection_;
  }

  void handle_answer(std::string_view line)
  {
    if (closed_) {
      return;
    }
    const auto message = platform::parse_member_message(line);
    const bool complete =
      message && message.value().kind == platform::member_message::message_kind::ready;
    if (complete) {
      state_ = message.value().state;
      if (ready_) {
        unanswered_ -= unanswered_ > 0 ? 1 : 0;
      }
    }
    if (answer_.size() + line.size() > answer_limit_bytes) {
      router_.log_.write("answer_too_long",
                         { { "detail", std::to_string(answer_limit_bytes) + " bytes" } });
      std::string().swap(answer_);
      finish();
      return;
    }
    answer_ += line;
    answer_ += "\r\n";
    account_.set(answer_.capacity());
    // An answer is passed on as a whole. If the carrier fails before its end, the caller gets
    // another one in its place. An error in place of the first READY is complete.
    if (complete || !ready_) {
      output_.write(std::exchange(answer_, {}));
      account_.set(0);
    }
    if (message && !std::exchange(ready_, true)) {
      for (auto& queued : std::exchange(queued_lines_, {})) {
        handle_line(queued);
      }
    }
  }

  void handle_redirect(const std::string& key)
  {
    const auto bytes = first_line_.size() + key.size();
    if (router_.redirect_keys_.size() >= redirect_key_limit ||
        router_.redirect_key_bytes_ + bytes > redirect_bytes_limit) {
      router_.redirect_keys_.clear();
      router_.redirect_key_bytes_ = 0;
    }
    router_.redirect_keys_[first_line_] = decode_routing_key(key);
    router_.redirect_key_bytes_ += bytes;
    ++redirect_count_;
    connection_.reset();
    open();
  }

  void handle_close(carrier_connection::end_reason reason)
  {
    connection_.reset();
    if (reason != carrier_connection::end_reason::ended && !ready_) {
      // The carrier has answered nothing yet, so another one may begin the session.
      return;
    }
    if (unanswered_ > 0) {
      log_lost_statement(reason);
    }
    if (reason == carrier_connection::end_reason::ended_all_answered) {
      refuse_unanswered();
    }
    finish();
  }

  // Answers statements that were on their way when the carrier ended the session. A transaction was
  // rolled back by that.
  void refuse_unanswered()
  {
    for (; unanswered_ > 0; --unanswered_) {
      const auto error =
        state_ == transaction_state::idle ? statement_error::busy : statement_error::aborted;
      output_.write(platform::encode_error(error, "the carrier of the session is stopping"));
      output_.write(platform::encode_ready(transaction_state::idle, std::nullopt));
    }
  }

  void log_lost_statement(carrier_connection::end_reason reason) const
  {
    const auto text_of = [](carrier_connection::end_reason ended) {
      switch (ended) {
        case carrier_connection::end_reason::connection_failed:
          return "the connection to the carrier failed";
        case carrier_connection::end_reason::ended:
          return "the carrier ended the session";
        case carrier_connection::end_reason::ended_all_answered:
          break;
      }
      return "not run: the carrier ended the session before it arrived";
    };
    const auto message = platform::parse_caller_message(last_line_);
    const bool known = message && message.value();
    router_.log_.write("statement_lost",
                       { { "request", known ? message.value()->id : std::string() },
                         { "detail", text_of(reason) } });
  }

  void finish()
  {
    disconnect();
    output_.finish();
  }

  relay_router& router_;
  caller_output output_;
  memory_budget::account account_;
  std::string first_line_;
  instant began_at_{};
  std::shared_ptr<carrier_connection> connection_;
  std::uint64_t stream_ = 0;
  unsigned redirect_count_ = 0;
  // True once the carrier answered the first message.
  bool ready_ = false;
  std::uint64_t unanswered_ = 0;
  // Part of the present answer that has arrived.
  std::string answer_;
  // Begin of the most recent statement, for the log.
  std::string last_line_;
  transaction_state state_ = transaction_state::idle;
  std::vector<std::string> queued_lines_;
  // Placement revision under which the carrier was chosen or confirmed.
  std::uint64_t placement_revision_ = 0;
  instant next_placement_check_{};
  bool closed_ = false;
};

relay_router::relay_router(boost::asio::io_context& context,
                           instance_id own_instance,
                           zone_id own_zone,
                           decision_log& log,
                           hooks callbacks)
  : context_(context)
  , own_instance_(std::move(own_instance))
  , own_zone_(std::move(own_zone))
  , log_(log)
  , hooks_(std::move(callbacks))
{
}

relay_router::~relay_router() = default;

void
relay_router::set_plan(const carrier_plan& plan)
{
  plan_ = plan;
  record_placement_change();
  std::map<instance_id, std::shared_ptr<carrier_connection>> kept;
  for (const auto& entry : plan.carriers) {
    if (entry.instance == own_instance_) {
      continue;
    }
    auto& connection = kept[entry.instance];
    connection = connection_to(entry.instance);
    if (!connection) {
      const auto changed = [this, instance = entry.instance](bool up, const std::string& reason) {
        record_placement_change();
        log_.write(
          "carrier",
          { { "carrier", instance.get() }, { "usable", up ? "yes" : "no" }, { "reason", reason } });
      };
      connection = carrier_connection::create(
        context_,
        entry.address,
        { [this](std::uint64_t version) { hooks_.version_received(version); },
          [this](std::uint64_t token, const std::string& address) {
            hooks_.coordinator_received(token, address);
          },
          changed,
          [this] { return highest_version_; } });
      connection->tick(boot_now());
    }
  }
  const auto former = std::exchange(connections_, std::move(kept));
  for (const auto& [instance, connection] : former) {
    if (!connections_.contains(instance)) {
      connection->drain();
      draining_connections_.push_back(connection);
    }
  }
}

void
relay_router::tick(instant now)
{
  // A failed connection ends its sessions. Their handlers must not change the plan during this
  // loop.
  for (const auto& [instance, connection] : connections_) {
    connection->tick(now);
  }
  for (const auto& connection : draining_connections_) {
    connection->tick(now);
  }
  std::erase_if(draining_connections_,
                [](const auto& connection) { return connection->is_closed(); });
}

std::shared_ptr<carrier_connection>
relay_router::connection_to(const instance_id& instance) const
{
  const auto found = connections_.find(instance);
  return found == connections_.end() ? nullptr : found->second;
}

bool
relay_router::can_begin_sessions() const
{
  if (plan_.carries(own_instance_)) {
    return true;
  }
  for (const auto& [instance, connection] : connections_) {
    if (connection->usable()) {
      return true;
    }
  }
  return false;
}

std::optional<instance_id>
relay_router::assigned_carrier(const routing_key& key) const
{
  bool carried_here = false;
  for (const auto* entry : rank_carriers(plan_, key, own_zone_)) {
    const auto connection = connection_to(entry->instance);
    const bool is_own = entry->instance == own_instance_;
    carried_here = carried_here || is_own;
    if ((is_own && !stopping_) || (connection && connection->usable())) {
      return entry->instance;
    }
  }
  return carried_here ? std::optional<instance_id>(own_instance_) : std::nullopt;
}

std::shared_ptr<carrier_connection>
relay_router::connection_for(const routing_key& key) const
{
  for (const auto* entry : rank_carriers(plan_, key, own_zone_)) {
    auto connection = connection_to(entry->instance);
    if (connection && connection->usable()) {
      return connection;
    }
  }
  return nullptr;
}

routing_key
relay_router::routing_key_for(const std::string& first_line) const
{
  if (const auto key = hooks_.routing_key_of(first_line)) {
    return *key;
  }
  const auto redirected = redirect_keys_.find(first_line);
  // Without a configuration the message itself stands for the workspace, which only spreads the
  // sessions.
  return redirected == redirect_keys_.end() ? routing_key{ {}, workspace_id(first_line) }
                                            : redirected->second;
}

bool
relay_router::runs_here(const std::string& first_line) const
{
  const auto key = routing_key_for(first_line);
  // A carrier rejects sessions of unknown databases itself.
  return (key.group.empty() && plan_.carries(own_instance_)) ||
         assigned_carrier(key) == own_instance_;
}

void
relay_router::record_placement_change()
{
  ++placement_revision_;
  placement_changed_at_ = boot_now();
}

bool
relay_router::placement_is_settled(instant now) const
{
  return now - placement_changed_at_ >= placement_settling_time;
}

session_handle
relay_router::begin_relayed_session(caller_output output)
{
  const auto created = std::make_shared<session>(*this, std::move(output));
  return { false,
           [created](std::string_view line) { created->handle_line(line); },
           [created](instant now) { created->tick(now); },
           [created] { return created->idle(); },
           [created] { return created->between_statements(); },
           [created] { created->disconnect(); },
           {},
           [created](instant now) { return created->should_move(now); } };
}

void
relay_router::raise_version(std::uint64_t version)
{
  if (version <= highest_version_) {
    return;
  }
  highest_version_ = version;
  for (const auto& [instance, connection] : connections_) {
    connection->send_version(version);
  }
}

}
