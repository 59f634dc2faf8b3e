#include "Checks/Sessions/statement_workload.h"

#include "platform/line_protocol.h"

#include <array>

namespace persimmonshelf {

namespace {

constexpr std::size_t caller_count = 4;
constexpr duration statement_timeout = std::chrono::milliseconds(800);
// Step of the clock that ends statements which wait.
constexpr duration clock_step = std::chrono::milliseconds(900);
// Pieces of the texts, which look like other statements when they are put together.
const std::array<std::string, 16> pieces{ "q12",   "READ", "WRITE", "zd",
                                          "r.q12", "-",    "AFTER", "1.1",
                                          "p1",    " ",    "  ",    "\t",
                                          "\r",    "\n",   "x\r",   std::string(1, '\0') };
const std::array<statement_error, 4> refusals{ statement_error::busy,
                                               statement_error::failed,
                                               statement_error::malformed,
                                               statement_error::unknown_statement };

// One database on a group with one member, and one workspace.
fleet_configuration
make_configuration()
{
  fleet_configuration configuration;
  configuration.version = config_version(1);
  proxy_route route;
  route.name = "route";
  route.database = database_id("database");
  route.group = "group";
  route.kind = consistency::primary;
  route.statement_timeout = statement_timeout;
  route.target_latency = statement_timeout;
  configuration.routes.push_back(route);
  configuration.groups.push_back({ route.group, 54, 0 });
  configuration.workspaces.push_back({ workspace_id("workspace"), { "key" }, 100, 100 });
  return configuration;
}

listed_member
make_primary()
{
  listed_member member;
  member.id = member_id("m1");
  member.group = "group";
  member.zone = zone_id("z1");
  member.claims_primary = true;
  return member;
}

}

statement_workload::statement_workload(std::uint32_t seed)
  : random_(seed)
  , configuration_(make_configuration())
  , pool_({ [this](const pooled_connection& opened, const listed_member&) {
             opening_.push_back(opened.number);
           },
            [this](connection_number number) { connections_.erase(number); },
            [](const std::string&) {
              return group_primary{ member_id("m1"), true, std::nullopt };
            } },
          zone_id("z1"))
{
  pool_.set_members({ make_primary() }, now_);
  callers_.resize(caller_count);
  for (std::size_t i = 0; i < caller_count; ++i) {
    connect(i);
  }
}

std::size_t
statement_workload::draw(std::size_t end)
{
  return std::uniform_int_distribution<std::size_t>(0, end - 1)(random_);
}

void
statement_workload::connect(std::size_t index)
{
  session_hooks hooks;
  hooks.configuration = [this]() -> const configuration_index& { return configuration_; };
  hooks.key_evidence_missing = [] { return std::optional<std::string>(); };
  hooks.admit = [](const workspace_id&, const operation_urgency&, const admission::handler& done) {
    done(std::nullopt);
    return std::optional<admission_number>();
  };
  hooks.cancel_admission = [](admission_number) {};
  hooks.acquire = [this](const connection_request& request, auto granted, auto refused) {
    return pool_.acquire(request, std::move(granted), std::move(refused), now_);
  };
  hooks.cancel = [this](request_number number) { pool_.cancel(number); };
  hooks.release = [this](connection_number number, duration elapsed) {
    pool_.release(number, elapsed, now_);
  };
  hooks.send = [this](connection_number number, member_command command, auto done) {
    connections_[number].commands.push_back({ std::move(command), std::move(done) });
  };
  hooks.close_connection = [this](connection_number number) {
    connections_.erase(number);
    pool_.on_connection_closed(number, false, now_);
  };
  hooks.primary_of = [](const std::string&) {
    return group_primary{ member_id("m1"), true, std::nullopt };
  };
  hooks.commit_is_valid = [](const std::string&, const member_id&) { return true; };
  hooks.position_for_staleness = [](const std::string&, duration) {
    return std::optional<timed_position>();
  };
  hooks.observe_lag = [](const member_id&, bool) {};
  hooks.observe_position = [](const std::string&, const member_id&, const log_point&, instant) {};
  hooks.answer = [this, index](const statement_answer& reply) { answered(callers_[index], reply); };
  hooks.now = [this] { return now_; };
  hooks.log = [](const std::string&, const std::string&, const std::string&) {};
  auto& caller = callers_[index];
  caller.session =
    std::make_unique<caller_session>(database_id("database"), "key", std::move(hooks));
  static_cast<void>(caller.session->check_start());
  caller.settings.clear();
  caller.shapes.clear();
}

void
statement_workload::answered(caller_state& to, const statement_answer& answer)
{
  to.answers.push_back(answer);
  const auto& sent = to.current;
  if (answer.error) {
    return;
  }
  if (sent.kind == statement_kind::set) {
    to.settings[sent.name] = sent.argument;
  } else if (sent.kind == statement_kind::prepare) {
    to.shapes[sent.name] = sent.argument;
  } else if (sent.kind == statement_kind::deallocate) {
    to.shapes.erase(sent.name);
  }
}

void
statement_workload::begin(std::size_t index, const std::string& text)
{
  auto& caller = callers_[index];
  if (caller.session->busy()) {
    return;
  }
  const auto id = "id" + std::to_string(++last_id_);
  const auto parsed = platform::parse_caller_message("QUERY " + id + " " + text);
  caller.current = *parsed.value();
  const auto& sent = caller.current;
  const auto shape = caller.shapes.find(sent.name);
  expected_[id] = { sent.kind == statement_kind::execute ? sent.argument : sent.text,
                    sent.kind == statement_kind::execute && shape != caller.shapes.end()
                      ? shape->second
                      : "",
                    caller.settings,
                    caller.session->state() == transaction_state::open };
  caller.session->handle(sent);
  open_connections();
}

void
statement_workload::send(std::size_t index, const std::string& text)
{
  begin(index, text);
  while (run_any_command(0)) {
  }
}

std::optional<statement_answer>
statement_workload::last_answer(std::size_t index) const
{
  const auto& answers = callers_[index].answers;
  return answers.empty() ? std::nullopt : std::optional(answers.back());
}

void
statement_workload::open_connections()
{
  while (!opening_.empty()) {
    const auto number = opening_.front();
    opening_.pop_front();
    connections_[number];
    pool_.on_connection_opened(number, now_);
  }
}

// Answers the oldest command of the connection, or breaks the connection. Returns false if there is
// no such command.
bool
statement_workload::run_command(connection_number number, double fault_rate)
{
  const auto found = connections_.find(number);
  if (found == connections_.end() || found->second.commands.empty()) {
    return false;
  }
  auto& current = found->second;
  auto sent = std::move(current.commands.front());
  current.commands.pop_front();
  const auto fault = std::uniform_real_distribution<>(0, 1)(random_);
  member_reply reply;
  reply.sent = reply.received = now_;
  auto line = platform::encode_command(sent.command).value();
  line.resize(line.size() - 2);
  if (fault < fault_rate / 2) {
    reply.answer.error = refusals.at(draw(refusals.size()));
  } else if (const auto ran = current.member.apply(line)) {
    check(current, ran.value());
    if (ran.value().kind == standin_line_statement::operation::commit ||
        ran.value().kind == standin_line_statement::operation::rollback) {
      current.member.end_transaction();
    }
  } else {
    reply.answer.error = ran.error().message == "NOSTMT" ? statement_error::unknown_statement
                                                         : statement_error::malformed;
  }
  reply.answer.state =
    current.member.state() == 'I' ? transaction_state::idle : transaction_state::open;
  reply.answer.signature = "sig";
  if (fault >= 1 - fault_rate / 4) {
    current.commands.push_front(std::move(sent));
    lose(number);
  } else {
    sent.done(reply);
  }
  open_connections();
  return true;
}

// Breaks the connection before its commands are answered.
void
statement_workload::lose(connection_number number)
{
  auto lost = std::move(connections_[number].commands);
  connections_.erase(number);
  pool_.on_connection_closed(number, false, now_);
  for (auto& entry : lost) {
    member_reply reply;
    reply.lost = true;
    entry.done(reply);
  }
}

bool
statement_workload::run_any_command(double fault_rate)
{
  std::vector<connection_number> waiting;
  for (const auto& [number, entry] : connections_) {
    if (!entry.commands.empty()) {
      waiting.push_back(number);
    }
  }
  return !waiting.empty() && run_command(waiting[draw(waiting.size())], fault_rate);
}

void
statement_workload::report(const std::string& violation)
{
  violations += violation + "\n";
}

void
statement_workload::check(const connection& at, const standin_line_statement& ran)
{
  using operation = standin_line_statement::operation;
  const bool runs =
    ran.kind == operation::read || ran.kind == operation::write || ran.kind == operation::commit;
  if (!runs) {
    return;
  }
  ++executed;
  const auto found = expected_.find(ran.id);
  if (found == expected_.end()) {
    report("nobody sent: " + ran.text);
    return;
  }
  const auto& sent = found->second;
  std::string arguments = ran.text;
  if (!ran.shape.empty()) {
    arguments = ran.kind == operation::write ? ran.item + " " + ran.data : ran.item;
  }
  if (ran.shape != sent.shape || arguments != sent.text) {
    report("sent \"" + sent.text + "\" to shape \"" + sent.shape + "\", ran \"" + ran.text +
           "\" as \"" + ran.shape + "\"");
  }
  if (at.member.settings() != sent.settings) {
    report("other settings: " + ran.text);
  }
  if ((at.member.state() == 'T') != sent.in_transaction) {
    report("in another transaction: " + ran.text);
  }
}

std::string
statement_workload::random_text()
{
  std::string text;
  for (auto count = 1 + draw(4); count > 0; --count) {
    text += pieces.at(draw(pieces.size()));
  }
  return text.find("\r\n") == std::string::npos ? text : "q12";
}

std::string
statement_workload::random_statement()
{
  const auto name = "s" + std::to_string(draw(3));
  switch (draw(12)) {
    case 0:
    case 1:
    case 2:
      return "PREPARE " + name + (draw(2) == 0 ? " READ " : " WRITE ") + random_text();
    case 3:
      return "DEALLOC " + name;
    case 4:
      return "SET " + name + " " + random_text();
    case 5:
      return "READ " + random_text();
    case 6:
      return "WRITE k " + random_text();
    case 7:
      return "BEGIN";
    case 8:
      return draw(2) == 0 ? "COMMIT" : "ROLLBACK";
    default:
      return "EXECUTE " + name + " k " + random_text();
  }
}

void
statement_workload::run_random(int steps)
{
  constexpr double fault_rate = 0.1;
  for (int i = 0; i < steps; ++i) {
    const auto index = draw(caller_count);
    switch (draw(40)) {
      case 0:
        callers_[index].session->disconnect();
        connect(index);
        break;
      case 1:
        now_ += clock_step;
        for (auto& caller : callers_) {
          caller.session->tick(now_);
        }
        pool_.tick(now_);
        break;
      default:
        begin(index, random_statement());
    }
    open_connections();
    for (auto count = draw(4); count > 0; --count) {
      run_any_command(fault_rate);
    }
  }
  while (run_any_command(0)) {
  }
}

}
