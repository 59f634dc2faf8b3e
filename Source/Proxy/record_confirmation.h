#pragma once

#include "Proxy/failover.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonshelf {

// Establishes who leads one group after the store has entered a new era, on behalf of the
// coordinator. The store may have lost the record of a replacement and every process its memory of
// it, but the members know their terms. The member that leads in the newest term of all that answer
// is recorded in the new era; until then no instance that knows only the restored record uses it.
class record_confirmation
{
public:
  // As those of a failover.
  struct hooks
  {
    std::function<void(const group_record&,
                       std::function<void(bool written, const store_version& version)>)>
      write_record;
    std::function<
      void(const member_id&, member_command, std::function<void(std::optional<member_status>)>)>
      send_command;
    std::function<instant()> now;
    std::function<
      void(const std::string& group, const std::string& event, const std::string& detail)>
      log;
  };

  record_confirmation(std::string group, hooks callbacks);
  record_confirmation(const record_confirmation&) = delete;
  record_confirmation& operator=(const record_confirmation&) = delete;

  // Takes the next step. `known` is the latest known record of the group, null if there is none.
  // A replacement that it records as unfinished is recorded again without asking the members.
  void tick(const group_record* known, const std::vector<listed_member>& members);

  // True while members are asked or the record is written.
  bool in_progress() const { return in_progress_; }
  // True if no member was found that may be the primary, so that it has to be replaced.
  bool primary_is_lost() const { return primary_is_lost_; }

private:
  void ask(const std::vector<listed_member>& members);
  void compare_answers();
  void write(const group_record& record);
  void retry_later();

  std::string group_;
  hooks hooks_;
  std::optional<group_record> known_;
  // Members that were asked in the present round, and their answers.
  std::size_t asked_ = 0;
  std::size_t pending_ = 0;
  std::map<member_id, member_status> answers_;
  std::optional<instant> started_at_;
  instant retry_at_{};
  bool in_progress_ = false;
  bool primary_is_lost_ = false;
};

}
