#include "ProxyNode/relay_router.h"

#include "ProxyNode/boot_clock.h"
#include "platform/line_protocol.h"

#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

// A session that finds no carrier by then is refused.
constexpr duration open_limit = std::chrono::milliseconds(700);
// After this many other homes were named, the next carrier runs the session: the instances know
// different sets of carriers for a moment.
constexpr unsigned move_limit = 2;
// Home keys that are kept; they are learned again.
constexpr std::size_t hint_limit = 4096;
constexpr std::size_t waiting_limit = 16;

}

// One session of a caller that a carrier runs.
class relay_router::session : public std::enable_shared_from_this<relay_router::session>
{
public:
  session(relay_router& router, caller_port to)
    : router_(router)
    , to_(std::move(to))
  {
  }

  void take_line(std::string_view line)
  {
    if (ended_) {
      return;
    }
    if (first_line_.empty()) {
      first_line_ = std::string(line);
      began_ = boot_now();
      open();
      return;
    }
    if (!ready_) {
      if (waiting_.size() >= waiting_limit) {
        finish();
        return;
      }
      waiting_.emplace_back(line);
      return;
    }
    ++unanswered_;
    last_line_ = std::string(line);
    link_->send(stream_, line);
  }

  void tick(instant now)
  {
    if (ended_ || first_line_.empty()) {
      return;
    }
    if (!link_) {
      if (now - began_ > open_limit) {
        router_.log_.write("session_refused",
                           { { "reason", "no carrier can be reached" },
                             { "carriers", std::to_string(router_.plan_.carriers.size()) },
                             { "plan", std::to_string(router_.plan_.version) } });
        to_.write(platform::encode_error(statement_error::busy, "no instance can run the session"));
        finish();
      } else {
        open();
      }
      return;
    }
    if (link_->leaving() && idle()) {
      finish();
    }
  }

  bool idle() const { return resting() && state_ == transaction_state::idle; }
  bool resting() const { return first_line_.empty() || (ready_ && unanswered_ == 0); }

  void abandon()
  {
    if (!std::exchange(ended_, true) && link_) {
      link_->close(stream_);
    }
  }

private:
  void open()
  {
    link_ = router_.link_for(router_.key_for(first_line_));
    if (!link_) {
      return;
    }
    std::weak_ptr<session> weak = weak_from_this();
    stream_ = link_->open(first_line_,
                          moves_ >= move_limit,
                          { [weak](std::string_view line) {
                             if (const auto self = weak.lock()) {
                               self->answered(line);
                             }
                           },
                            [weak](const std::string& home_key) {
                              if (const auto self = weak.lock()) {
                                self->moved(home_key);
                              }
                            },
                            [weak](bool by_carrier) {
                              if (const auto self = weak.lock()) {
                                self->closed(by_carrier);
                              }
                            } });
  }

  void answered(std::string_view line)
  {
    if (ended_) {
      return;
    }
    const auto message = platform::parse_member_message(line);
    if (message && message.value().kind == platform::member_message::message_kind::ready) {
      state_ = message.value().state;
      if (ready_) {
        unanswered_ -= unanswered_ > 0 ? 1 : 0;
      }
    }
    std::string text(line);
    text += "\r\n";
    to_.write(text);
    if (message && !std::exchange(ready_, true)) {
      for (auto& waiting : std::exchange(waiting_, {})) {
        take_line(waiting);
      }
    }
  }

  void moved(const std::string& home_key)
  {
    if (router_.hints_.size() >= hint_limit) {
      router_.hints_.clear();
    }
    router_.hints_[first_line_] = home_key;
    ++moves_;
    link_.reset();
    open();
  }

  void closed(bool by_carrier)
  {
    link_.reset();
    if (!by_carrier && !ready_) {
      // Nothing was answered, so another carrier may begin the session.
      return;
    }
    if (unanswered_ > 0) {
      log_lost_statement(by_carrier);
    }
    finish();
  }

  // The statement may have run, so the caller is told nothing.
  void log_lost_statement(bool by_carrier) const
  {
    const auto message = platform::parse_caller_message(last_line_);
    const bool known = message && message.value();
    router_.log_.write(
      "statement_lost",
      { { "request", known ? message.value()->id : std::string() },
        { "detail",
          by_carrier ? "the carrier ended the session" : "the connection to the carrier broke" } });
  }

  void finish()
  {
    abandon();
    to_.finish();
  }

  relay_router& router_;
  caller_port to_;
  std::string first_line_;
  instant began_{};
  std::shared_ptr<carrier_link> link_;
  std::uint64_t stream_ = 0;
  unsigned moves_ = 0;
  // True once the carrier answered the first message.
  bool ready_ = false;
  std::uint64_t unanswered_ = 0;
  // Newest statement, for the log.
  std::string last_line_;
  transaction_state state_ = transaction_state::idle;
  std::vector<std::string> waiting_;
  bool ended_ = false;
};

relay_router::relay_router(boost::asio::io_context& context,
                           instance_id own,
                           decision_log& log,
                           hooks calls)
  : context_(context)
  , own_(std::move(own))
  , log_(log)
  , hooks_(std::move(calls))
{
}

relay_router::~relay_router() = default;

void
relay_router::set_plan(const carrier_plan& plan)
{
  plan_ = plan;
  std::map<instance_id, std::shared_ptr<carrier_link>> kept;
  for (const auto& entry : plan.carriers) {
    if (entry.instance == own_) {
      continue;
    }
    auto& link = kept[entry.instance];
    link = link_to(entry.instance);
    if (!link) {
      const auto changed = [this, instance = entry.instance](bool up, const std::string& reason) {
        log_.write(
          "carrier",
          { { "carrier", instance.get() }, { "usable", up ? "yes" : "no" }, { "reason", reason } });
      };
      link = carrier_link::create(context_,
                                  entry.address,
                                  { [this](std::uint64_t version) { hooks_.version(version); },
                                    [this](std::uint64_t token, const std::string& address) {
                                      hooks_.coordinator(token, address);
                                    },
                                    changed,
                                    [this] { return highest_version_; } });
      link->tick(boot_now());
    }
  }
  const auto former = std::exchange(links_, std::move(kept));
  for (const auto& [instance, link] : former) {
    if (!links_.contains(instance)) {
      link->retire();
      retiring_.push_back(link);
    }
  }
}

void
relay_router::tick(instant now)
{
  // A link that breaks ends sessions, which may not change the plan.
  for (const auto& [instance, link] : links_) {
    link->tick(now);
  }
  for (const auto& link : retiring_) {
    link->tick(now);
  }
  std::erase_if(retiring_, [](const auto& link) { return link->ended(); });
}

std::shared_ptr<carrier_link>
relay_router::link_to(const instance_id& instance) const
{
  const auto found = links_.find(instance);
  return found == links_.end() ? nullptr : found->second;
}

bool
relay_router::can_open() const
{
  if (plan_.everyone || plan_.carries(own_)) {
    return true;
  }
  for (const auto& [instance, link] : links_) {
    if (link->usable()) {
      return true;
    }
  }
  return false;
}

std::optional<instance_id>
relay_router::home_of(const std::string& home_key) const
{
  for (const auto* entry : rank_homes(plan_, home_key)) {
    const auto link = link_to(entry->instance);
    if (entry->instance == own_ || (link && link->usable())) {
      return entry->instance;
    }
  }
  return std::nullopt;
}

std::shared_ptr<carrier_link>
relay_router::link_for(const std::string& home_key) const
{
  for (const auto* entry : rank_homes(plan_, home_key)) {
    auto link = link_to(entry->instance);
    if (link && link->usable()) {
      return link;
    }
  }
  return nullptr;
}

std::string
relay_router::key_for(const std::string& first_line) const
{
  if (const auto key = hooks_.home_key(first_line)) {
    return *key;
  }
  const auto hint = hints_.find(first_line);
  return hint == hints_.end() ? first_line : hint->second;
}

bool
relay_router::runs_here(const std::string& first_line) const
{
  return plan_.everyone || home_of(key_for(first_line)) == own_;
}

session_port
relay_router::relay(caller_port to)
{
  const auto made = std::make_shared<session>(*this, std::move(to));
  return { false,
           [made](std::string_view line) { made->take_line(line); },
           [made](instant now) { made->tick(now); },
           [made] { return made->idle(); },
           [made] { return made->resting(); },
           [made] { made->abandon(); } };
}

void
relay_router::raise_version(std::uint64_t version)
{
  if (version <= highest_version_) {
    return;
  }
  highest_version_ = version;
  for (const auto& [instance, link] : links_) {
    link->send_version(version);
  }
}

}
