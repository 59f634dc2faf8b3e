#include "ProxyNode/proxy_node_state.h"

#include "ProxyNode/boot_clock.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace persimmonshelf {

namespace {

// Connecting takes a round trip and the member's set-up, which waits for a slot.
constexpr duration link_open_timeout = std::chrono::milliseconds(450);

}

session_hooks
proxy_node::state::hooks_for_session()
{
  session_hooks hooks;
  hooks.configuration = [this]() -> const configuration_index& {
    return knowledge.configuration();
  };
  hooks.key_evidence_missing = [this] { return knowledge.key_evidence_missing(boot_now()); };
  hooks.admit = [this](const workspace_id& workspace, admission::handler done) {
    operations.admit(workspace, std::move(done), boot_now());
  };
  hooks.acquire = [this](link_request request,
                         link_dispatcher::grant_handler granted,
                         link_dispatcher::refuse_handler refused) {
    return links.acquire(std::move(request), std::move(granted), std::move(refused), boot_now());
  };
  hooks.cancel = [this](ticket_number ticket) { links.cancel(ticket); };
  hooks.release = [this](link_number number, duration elapsed) {
    links.release(number, elapsed, boot_now());
  };
  hooks.send = [this](link_number number,
                      const member_command& command,
                      std::function<void(member_reply)> done) {
    const auto found = connections.find(number);
    if (found == connections.end()) {
      boost::asio::post(context, [done = std::move(done)] { done({ .lost = true }); });
      return;
    }
    found->second->send(command,
                        [this, member = member_id(found->second->member()), done = std::move(done)](
                          member_reply reply) {
                          if (!reply.lost) {
                            last_answers[member] = reply.received;
                          }
                          done(std::move(reply));
                        });
  };
  hooks.abandon = [this](link_number number) {
    close_link(number);
    links.link_closed(number, false, boot_now());
  };
  hooks.leader = [this](const std::string& group) { return knowledge.leader(group, boot_now()); };
  hooks.commit_is_valid = [this](const std::string& group, const member_id& member) {
    return knowledge.commit_is_valid(group, member, boot_now());
  };
  hooks.fresh_position = [this](const std::string& group, duration bound) {
    return positions.position_for(group, bound, boot_now());
  };
  hooks.observe_lag = [this](const member_id& member, bool lagging) {
    if (lagging) {
      links.note_lagging(member, boot_now());
    } else {
      links.note_fresh(member);
    }
  };
  hooks.observe_position = [this](const std::string& group,
                                  const member_id& member,
                                  const log_point& position,
                                  instant sent) {
    const auto leader = knowledge.leader(group, boot_now());
    if (leader && leader->usable && leader->member == member) {
      positions.observe(group, position, sent);
    }
  };
  hooks.now = [] { return boot_now(); };
  hooks.log = [this](const std::string& event, const std::string& id, const std::string& detail) {
    log.write(event, { { "request", id }, { "detail", detail } });
  };
  return hooks;
}

void
proxy_node::state::open_link(const member_link& link, const listed_member& member)
{
  const auto number = link.number;
  auto connection = member_connection::create(
    context,
    { member.address, member.group, link.workspace.get(), member.id.get() },
    { [this, number] { links.link_opened(number, boot_now()); },
      [this, number, id = member.id](bool refused_full, const std::string& reason) {
        log.write("link_closed", { { "member", id.get() }, { "reason", reason } });
        connections.erase(number);
        links.link_closed(number, refused_full, boot_now());
      } });
  connections.emplace(number, connection);
  connection->open(link_open_timeout);
}

void
proxy_node::state::close_link(link_number number)
{
  const auto found = connections.find(number);
  if (found == connections.end()) {
    return;
  }
  const auto connection = found->second;
  connections.erase(found);
  connection->abandon();
}

}
