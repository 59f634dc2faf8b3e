#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmonshelf {

// A member as the configuration text names it.
struct route_member
{
  member_id member;
  zone_id zone;
};

// Chooses the member that a request is sent to. It knows the configuration and what homes said in
// their answers; it asks no one, and a wrong choice costs one hop, never a promise.
class router
{
public:
  explicit router(zone_id own_zone);

  // Replaces the known databases; hints of databases that stay are kept.
  void configure(const std::map<database_id, std::vector<route_member>>& databases);

  // Takes the primary that a home named; an older term than the known one is ignored.
  void record_primary(const database_id& database, const member_id& member, term in_term);

  // Notes that a member was not fresh enough, so that reads try others first for a while.
  void record_stale(const database_id& database, const member_id& member, instant now);

  std::optional<member_id> primary(const database_id& database) const;

  // Term of the known primary; zero if none is known.
  term primary_term(const database_id& database) const;

  // Members for a write, in the order to try: the known primary, then the others.
  std::vector<route_member> write_order(const database_id& database) const;

  // Members for a read, in the order to try: own zone, other replicas, then the primary. Members
  // that were stale within the last moment come after the other replicas.
  std::vector<route_member> read_order(const database_id& database, instant now) const;

  std::optional<route_member> find(const database_id& database, const member_id& member) const;

private:
  struct database_state
  {
    std::vector<route_member> members;
    std::optional<member_id> primary;
    term primary_term;
    std::map<member_id, instant> stale_until;
  };

  zone_id own_zone_;
  std::map<database_id, database_state> databases_;
};

}
