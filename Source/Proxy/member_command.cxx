#include "Proxy/member_command.h"

namespace persimmonshelf {

std::string_view
name_of(member_command::command_kind kind)
{
  using command_kind = member_command::command_kind;
  switch (kind) {
    case command_kind::verbatim:
      return "statement";
    case command_kind::execute:
      return "execute";
    case command_kind::begin:
      return "begin";
    case command_kind::begin_read:
      return "begin_read";
    case command_kind::rollback:
      return "rollback";
    case command_kind::set:
      return "set";
    case command_kind::prepare:
      return "prepare";
    case command_kind::deallocate:
      return "deallocate";
    case command_kind::reset:
      return "reset";
    case command_kind::status:
      return "status";
    case command_kind::pause:
      return "pause";
    case command_kind::demote:
      break;
  }
  return "demote";
}

}
