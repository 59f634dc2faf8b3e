#pragma once

#include "Control/configuration.h"
#include "Engine/backend_connection_registry.h"
#include "Group/group_view.h"
#include "Group/promotion.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Monitors the database groups that this instance is a home of: maintains a view of each group from
// the status reports of its members and replaces a failed primary.
class group_service
{
public:
  struct hooks
  {
    // Returns a random number below `bound`.
    std::function<std::uint64_t(std::uint64_t bound)> random;
    // The view of a database may have changed.
    std::function<void(const database_id&, instant)> changed;
    std::function<void(const std::string&)> log;
    // Reports the end of a failover.
    std::function<void(const database_id&, const failover_durations&)> failed_over;
    // Prefix of the names of promotion candidates: instance and incarnation.
    std::string candidate;
  };

  group_service(backend_connection_registry& connections, hooks callbacks);
  ~group_service();

  // Sets the databases to watch. The pointers are not kept.
  void configure(const std::map<database_id, const database_config*>& databases, instant now);

  // Returns null if the database is not watched on this instance.
  const group_view* find(const database_id& database) const;

  // Returns the primary if a majority confirmed it recently.
  std::optional<primary_claim> confirmed_primary(const database_id& database, instant now) const;

  // Returns the most recent role changes and promotion events of a database on this instance,
  // oldest first.
  std::vector<std::string> events(const database_id& database) const;

  void tick(instant now);

  std::size_t size() const { return groups_.size(); }

private:
  struct watched_group;
  struct member_watch;

  std::unique_ptr<watched_group> make_group(const database_config& database);
  promotion_hooks make_promotion_hooks(watched_group& target);
  void record_event(watched_group& target, const std::string& text);
  // Sends a command of the promotion candidate to a member on a separate connection.
  void send_command(watched_group& target,
                    const member_id& member,
                    backend_message message,
                    std::function<void(const backend_reply&, instant)> answered);
  void close_watches(watched_group& target);
  void open_watch(watched_group& target, member_watch& member, instant now);
  void handle_watch_event(watched_group& target,
                          member_watch& member,
                          backend_event& event,
                          instant now);
  void request_status(watched_group& target, member_watch& member, instant now);
  void handle_status(watched_group& target,
                     member_watch& member,
                     member_report report,
                     instant now);
  static void handle_disconnect(member_watch& member, instant now);

  backend_connection_registry& connections_;
  hooks hooks_;
  std::uint64_t next_candidate_ = 1;
  std::map<database_id, std::unique_ptr<watched_group>> groups_;
};

}
