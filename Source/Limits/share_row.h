#pragma once

#include "Base/error.h"
#include "Base/ids.h"
#include "Limits/share_settings.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace persimmonshelf {

// One holder's share of a workspace's rate and burst, in parts per million.
struct share_entry
{
  incarnation_id incarnation;
  // Part that is valid under the base lease.
  std::int64_t base_ppm = 0;
  // Part that is valid under the extra lease.
  std::int64_t extra_ppm = 0;
  // How much more the holder needs. Other holders release shares only while there is a shortfall,
  // so that shares do not move back and forth.
  std::int64_t shortfall_ppm = 0;

  std::int64_t total() const { return base_ppm + extra_ppm; }
  friend bool operator==(const share_entry&, const share_entry&) = default;
};

// One run of one instance.
struct share_owner
{
  instance_id instance;
  incarnation_id incarnation;
};

// The row "share/<workspace>": the shares of all holders of a workspace. Every function that
// changes the row returns a new one whose shares sum to at most one million. A change that is not
// allowed, such as one to an entry of another run, returns the row unchanged.
class share_row
{
public:
  static std::string key(const workspace_id& workspace);

  // Empty text gives the empty row. Fails with malformed_answer if the text is not a valid row or
  // its shares sum to more than one million.
  static result<share_row> parse(std::string_view text);
  std::string to_json() const;

  const std::map<instance_id, share_entry>& holders() const { return holders_; }
  // Null if the instance is not a holder.
  const share_entry* find(const instance_id& instance) const;
  // Part that no holder has.
  std::int64_t unassigned() const;
  std::int64_t base_total() const;
  // Sum of the shortfalls of all holders except `self`.
  std::int64_t shortfall_of_others(const instance_id& self) const;

  // Adds a holder with at most `ppm` of the unassigned part. It is assigned as base until the base
  // parts of all holders reach `base_limit`, and as extra beyond that.
  share_row join(const share_owner& owner, std::int64_t ppm, std::int64_t base_limit) const;
  // Removes the owner's entry.
  share_row leave(const share_owner& owner) const;
  // Assigns the entry of an earlier run of the instance to the owner's run.
  share_row take_over(const share_owner& owner) const;
  // Lowers the owner's share by at most `ppm`, extra first.
  share_row shrink(const share_owner& owner, std::int64_t ppm) const;
  // Raises the owner's share by at most `ppm` of the unassigned part, split as in join().
  share_row grow(const share_owner& owner, std::int64_t ppm, std::int64_t base_limit) const;
  share_row set_shortfall(const share_owner& owner, std::int64_t ppm) const;
  // Removes the expired parts of a holder whose lease row has not changed for `unchanged`: the
  // extra part, or the whole entry once the base lease has expired.
  share_row reclaim(const instance_id& holder,
                    duration unchanged,
                    const share_settings& settings) const;

  friend bool operator==(const share_row&, const share_row&) = default;

private:
  // Null if the instance has no entry or the entry belongs to another run.
  share_entry* find_owned(const share_owner& owner);
  void assign(share_entry& entry, std::int64_t ppm, std::int64_t base_limit) const;

  std::map<instance_id, share_entry> holders_;
};

}
