#pragma once

#include "Base/ids.h"
#include "Base/instant.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmonshelf {

// A member as listed in the configuration.
struct route_member
{
  member_id member;
  zone_id zone;
};

// Chooses the member to which a request is sent, from the configuration and from hints in the
// answers of homes. It makes no calls of its own. A wrong choice costs one extra hop but violates
// no consistency guarantee.
class router
{
public:
  explicit router(zone_id own_zone);

  // Replaces the configured databases. Hints for databases that remain configured are kept.
  void configure(const std::map<database_id, std::vector<route_member>>& databases);

  // Records the primary that a home reported. Ignored if the term is older than the recorded one.
  void record_primary(const database_id& database, const member_id& member, term in_term);

  // Records that the data of a member was too old for a read. Reads prefer other replicas for a
  // short time.
  void record_stale(const database_id& database, const member_id& member, instant now);

  std::optional<member_id> primary(const database_id& database) const;

  // Term of the recorded primary; zero if there is none.
  term primary_term(const database_id& database) const;

  // Candidate members for a write, in the order to try: the recorded primary, then the others.
  std::vector<route_member> write_order(const database_id& database) const;

  // Candidate members for a read, in the order to try: replicas in the own availability zone, other
  // replicas, replicas that were recently stale, then the primary.
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
