#include "ProxyNode/proxy_node.h"

#include "Net/http_server.h"
#include "Proxy/fleet_knowledge.h"
#include "Proxy/freshness.h"
#include "Proxy/link_dispatcher.h"
#include "ProxyNode/boot_clock.h"
#include "ProxyNode/caller_connection.h"
#include "ProxyNode/decision_log.h"
#include "ProxyNode/member_connection.h"
#include "ProxyNode/store_access.h"
#include "ProxyNode/store_follower.h"
#include "platform/store_format.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <set>
#include <utility>

namespace persimmonshelf {

namespace {

using boost::asio::ip::tcp;

// Resolution of the statement time limits and of the queue.
constexpr duration tick_period = std::chrono::milliseconds(20);
// Connecting takes a round trip and the member's set-up, which waits for a slot.
constexpr duration link_open_timeout = std::chrono::milliseconds(900);
// Key evidence ends this long before the bound, for the way of the statement to the member.
constexpr duration key_margin = std::chrono::milliseconds(250);
// The store answers a held call after this time at the latest; evidence is that fresh.
constexpr duration store_hold = std::chrono::milliseconds(1000);

}

struct proxy_node::state
{
  explicit state(const node_settings& own);

  result<void> listen();
  void start();
  void accept();
  void tick();
  void serve_readiness();
  bool ready() const;
  void stop();
  session_hooks hooks_for_session();
  void open_link(const member_link& link, const listed_member& member);
  void close_link(link_number number);
  void learn_configuration(const std::map<std::string, platform::store_row>& rows, instant as_of);
  void learn_members(const std::map<std::string, platform::store_row>& rows, instant as_of);

  node_settings settings;
  boost::asio::io_context context;
  decision_log log;
  store_access store;
  fleet_knowledge knowledge;
  freshness positions;
  link_dispatcher links;
  table_follower configuration_rows;
  table_follower member_rows;
  table_follower own_rows;
  std::map<link_number, std::shared_ptr<member_connection>> connections;
  std::set<std::shared_ptr<caller_connection>> callers;
  tcp::acceptor acceptor;
  std::unique_ptr<http_server> readiness;
  boost::asio::steady_timer timer;
  boost::asio::signal_set signals;
  bool stopping = false;
  instant stop_began{};
};

proxy_node::state::state(const node_settings& own)
  : settings(own)
  , context(1)
  , log(own.name.get())
  , store(context, own.store)
  , knowledge({ own.key_revocation - key_margin, lead_send_limit, lead_answer_limit })
  , links(
      { [this](const member_link& link, const listed_member& member) { open_link(link, member); },
        [this](link_number number) { close_link(number); },
        [this](const std::string& group) { return knowledge.leader(group, boot_now()); } },
      own.zone)
  , configuration_rows(context,
                       store,
                       std::string(platform::configuration_table),
                       store_hold,
                       true,
                       { [this](const auto& rows, std::uint64_t, instant as_of) {
                          learn_configuration(rows, as_of);
                        },
                         [this](bool reachable, const std::string& reason) {
                           log.write(
                             "store_configuration",
                             { { "reachable", reachable ? "yes" : "no" }, { "reason", reason } });
                         } })
  , member_rows(
      context,
      store,
      std::string(platform::members_table),
      store_hold,
      false,
      { [this](const auto& rows, std::uint64_t, instant as_of) { learn_members(rows, as_of); },
        [](bool, const std::string&) {} })
  , own_rows(context,
             store,
             "persimmonshelf",
             store_hold,
             true,
             { [this](const auto&, std::uint64_t revision, instant as_of) {
                knowledge.learn_groups({}, revision, as_of);
              },
               [](bool, const std::string&) {} })
  , acceptor(context)
  , timer(context)
  , signals(context)
{
}

result<void>
proxy_node::state::listen()
{
  boost::system::error_code failure;
  const tcp::endpoint endpoint(boost::asio::ip::make_address(settings.callers.address, failure),
                               settings.callers.port);
  acceptor.open(endpoint.protocol(), failure);
  acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
  acceptor.bind(endpoint, failure);
  if (!failure) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return fail(result_code::address_unavailable,
                settings.callers.address + ":" + std::to_string(settings.callers.port) + ": " +
                  failure.message());
  }
  http_server_options options;
  options.address = settings.readiness.address;
  options.port = settings.readiness.port;
  BOOST_OUTCOME_TRY(
    readiness,
    http_server::create(
      context,
      options,
      [this](accepted_number, const http_request&, const http_server::responder& send) {
        http_response response;
        response.status = ready() ? 200 : 503;
        send(std::move(response));
      }));
  return success();
}

bool
proxy_node::state::ready() const
{
  return !stopping && knowledge.has_configuration() && !knowledge.members().empty() &&
         !knowledge.key_evidence_missing(boot_now());
}

void
proxy_node::state::start()
{
  signals.add(SIGTERM);
  signals.add(SIGHUP);
  signals.async_wait([this](const boost::system::error_code& cancelled, int number) {
    if (!cancelled && number == SIGTERM) {
      stop();
    }
  });
  configuration_rows.set_active(true);
  member_rows.set_active(true);
  own_rows.set_active(true);
  accept();
  tick();
  log.write("start", { { "zone", settings.zone.get() } });
}

void
proxy_node::state::accept()
{
  acceptor.async_accept([this](const boost::system::error_code& failure, tcp::socket socket) {
    if (failure == boost::asio::error::operation_aborted) {
      return;
    }
    if (!failure) {
      auto holder = std::make_shared<std::weak_ptr<caller_connection>>();
      auto connection =
        caller_connection::create(std::move(socket),
                                  { [this] { return hooks_for_session(); },
                                    [this, holder] { callers.erase(holder->lock()); },
                                    [](const statement_answer&, duration) {} });
      *holder = connection;
      callers.insert(connection);
      connection->start();
    }
    accept();
  });
}

void
proxy_node::state::tick()
{
  const auto now = boot_now();
  links.tick(now);
  const auto current = callers;
  for (const auto& caller : current) {
    caller->tick(now);
  }
  timer.expires_after(tick_period);
  timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) {
      tick();
    }
  });
}

void
proxy_node::state::stop()
{
  stopping = true;
  log.write("stop", {});
  context.stop();
}

session_hooks
proxy_node::state::hooks_for_session()
{
  session_hooks hooks;
  hooks.configuration = [this]() -> const configuration_index& {
    return knowledge.configuration();
  };
  hooks.key_evidence_missing = [this] { return knowledge.key_evidence_missing(boot_now()); };
  hooks.refuse_operation = [](const workspace_id&) { return std::optional<duration>(); };
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
    found->second->send(command, std::move(done));
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

void
proxy_node::state::learn_configuration(const std::map<std::string, platform::store_row>& rows,
                                       instant as_of)
{
  const auto row = rows.find(std::string(platform::configuration_key));
  if (row == rows.end()) {
    return;
  }
  auto parsed = platform::parse_configuration(row->second.value);
  if (!parsed) {
    log.write("configuration_unreadable", { { "reason", parsed.error().message } });
    return;
  }
  const auto version = parsed.value().version;
  const auto held = knowledge.configuration().configuration().version;
  if (!knowledge.learn_configuration(std::move(parsed.value()), as_of)) {
    log.write("configuration_older", { { "version", std::to_string(version.get()) } });
    return;
  }
  if (version != held) {
    log.write("configuration",
              { { "version", std::to_string(version.get()) },
                { "revision", std::to_string(row->second.revision) } });
  }
}

void
proxy_node::state::learn_members(const std::map<std::string, platform::store_row>& rows,
                                 instant as_of)
{
  std::vector<listed_member> members;
  for (const auto& [key, row] : rows) {
    auto parsed = platform::parse_member_row(row);
    if (!parsed) {
      log.write("member_unreadable", { { "reason", parsed.error().message } });
      continue;
    }
    members.push_back(std::move(parsed.value()));
  }
  if (knowledge.learn_members(members, as_of)) {
    links.set_members(knowledge.members(), boot_now());
  }
}

result<std::unique_ptr<proxy_node>>
proxy_node::create(const node_settings& settings)
{
  auto owned = std::make_unique<state>(settings);
  BOOST_OUTCOME_TRYV(owned->listen());
  return std::unique_ptr<proxy_node>(new proxy_node(std::move(owned)));
}

proxy_node::proxy_node(std::unique_ptr<state> owned)
  : state_(std::move(owned))
{
}

proxy_node::~proxy_node() = default;

void
proxy_node::run()
{
  state_->start();
  state_->context.run();
}

}
