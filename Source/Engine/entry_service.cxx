#include "Engine/entry_service.h"

#include "Engine/wire_convert.h"
#include "Home/transactions.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace persimmonshelf {

namespace {

constexpr std::size_t open_request_limit = 8192;
constexpr std::size_t kept_traces = 2000;
constexpr duration answer_margin = std::chrono::milliseconds(100);
constexpr duration home_check_interval = std::chrono::milliseconds(200);

std::string
hex(std::uint64_t number)
{
  constexpr std::string_view digits = "0123456789abcdef";
  std::string text(16, '0');
  for (std::size_t i = 0; i < text.size(); ++i) {
    text[text.size() - 1 - i] = digits[(number >> (4 * i)) & 15U];
  }
  return text;
}

wire::operation
to_wire(caller_operation kind)
{
  switch (kind) {
    case caller_operation::begin:
      return wire::begin;
    case caller_operation::commit:
      return wire::commit;
    case caller_operation::rollback:
      return wire::rollback;
    case caller_operation::statement:
      break;
  }
  return wire::statement;
}

}

struct entry_service::open_request
{
  caller_request request;
  respond reply;
  workspace_id workspace;
  sha256_digest key_digest{};
  bool has_key = false;
  session_state session;
  std::optional<instance_id> owner;
  instant started;
  instant deadline;
  // Where the attempt in flight went.
  instance_id home;
  incarnation_id home_incarnation;
  std::optional<request_id> attempt;
  std::optional<wire::forward_answer> answer;
  std::vector<trace_span> spans;
  std::string trace_id;
  instant sent;
  bool launched = false;
  bool admitted = false;
};

entry_service::entry_service(control_service& control,
                             share_holder& shares,
                             deferred_calls& deferred,
                             hooks callbacks)
  : control_(control)
  , shares_(shares)
  , deferred_(deferred)
  , hooks_(std::move(callbacks))
  , router_(control.members().self().zone)
  , table_(router_,
           budget_,
           { [this](const request_id& request, const attempt& next) { send(request, next, now_); },
             [this](const request_id& request,
                    result_code code,
                    run_outcome outcome,
                    const std::string& message,
                    const attempt_answer* answer) {
               finish(request, code, outcome, message, answer, now_);
             } })
  , traces_(kept_traces)
{
}

entry_service::~entry_service() = default;

void
entry_service::configured()
{
  std::map<database_id, std::vector<route_member>> databases;
  for (const auto& database : control_.config().databases()) {
    auto& members = databases[database.id];
    for (const auto& member : database.members) {
      members.push_back({ member.id, member.zone });
    }
  }
  router_.configure(databases);
}

void
entry_service::submit(caller_request request, respond reply, instant now)
{
  now_ = now;
  const auto& self = control_.members().self();
  const request_id id(self.instance.get() + "-" + hex(self.incarnation.get()) + "-" +
                      std::to_string(next_request_++));
  auto entry = std::make_unique<open_request>();
  entry->request = std::move(request);
  entry->reply = std::move(reply);
  entry->started = now;
  entry->trace_id = trace_id_of(entry->request.traceparent);
  if (entry->trace_id.empty()) {
    entry->trace_id = hex(self.incarnation.get()) + hex(next_request_);
  }
  auto& stored = *entry;
  open_.emplace(id, std::move(entry));
  const auto checked = check(stored, now);
  // The key was compared; it must not outlive the check.
  stored.request.key.clear();
  if (!checked) {
    finish(id, checked.error().code, run_outcome::not_run, checked.error().message, nullptr, now);
    return;
  }
  const bool ends_transaction = stored.request.operation == caller_operation::commit ||
                                stored.request.operation == caller_operation::rollback;
  if (!stored.has_key || ends_transaction) {
    // A transaction can always be ended, and open routes have no workspace to charge.
    launch(id, stored, now);
    return;
  }
  shares_.admit(
    stored.workspace, now, [this, id](admission decision) { admitted(id, decision, now_); });
}

result<void>
entry_service::check(open_request& entry, instant now)
{
  const auto& request = entry.request;
  if (draining_) {
    return fail(result_code::draining, "the instance is stopping");
  }
  if (open_.size() > open_request_limit) {
    return fail(result_code::overloaded, "too many open requests");
  }
  if (!control_.configured()) {
    return fail(result_code::no_configuration, "no configuration is in force yet");
  }
  const auto& config = control_.config();
  const auto* route = config.find_route(request.route);
  if (route == nullptr) {
    return fail(result_code::unknown_route, "route \"" + request.route.get() + "\" is unknown");
  }
  BOOST_OUTCOME_TRY(check_key(entry, *route, now));
  if (!route->uses(request.database)) {
    return fail(result_code::unknown_database,
                "route \"" + request.route.get() + "\" does not use database \"" +
                  request.database.get() + "\"");
  }
  BOOST_OUTCOME_TRY(entry.session, session_token::parse(request.session, hooks_.session_secret));
  if (!request.transaction.get().empty()) {
    BOOST_OUTCOME_TRY(auto name, transaction_name::parse(request.transaction));
    entry.owner = name.instance;
  }
  const auto& settings = config.settings();
  const auto wait =
    std::min(request.deadline.value_or(settings.default_deadline), settings.max_deadline);
  entry.deadline = now + wait;
  return success();
}

result<void>
entry_service::check_key(open_request& entry, const route_config& route, instant now)
{
  if (route.open) {
    return success();
  }
  if (entry.request.key.empty()) {
    return fail(result_code::key_missing, "route \"" + route.id.get() + "\" needs a key");
  }
  BOOST_OUTCOME_TRY(const auto* key, control_.find_key(entry.request.key, now));
  if (!route.allows(key->workspace)) {
    return fail(result_code::workspace_not_allowed,
                "workspace \"" + key->workspace.get() + "\" may not use route \"" + route.id.get() +
                  "\"");
  }
  entry.workspace = key->workspace;
  entry.key_digest = key->digest;
  entry.has_key = true;
  return success();
}

void
entry_service::admitted(const request_id& request, admission decision, instant now)
{
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  auto& entry = *found->second;
  if (decision == admission::admitted) {
    entry.admitted = true;
    hooks_.admitted(entry.workspace);
    launch(request, entry, now);
    return;
  }
  const bool over = decision == admission::refused_over_rate;
  finish(request,
         over ? result_code::rate_exceeded : result_code::rate_share_unavailable,
         run_outcome::not_run,
         over ? "workspace \"" + entry.workspace.get() + "\" is over its rate"
              : "no share of the rate of workspace \"" + entry.workspace.get() + "\" is available",
         nullptr,
         now);
}

void
entry_service::launch(const request_id& request, open_request& entry, instant now)
{
  // Admission may have waited for a borrowed token; the key may have been revoked meanwhile.
  if (entry.has_key && control_.keys().find(entry.key_digest) == nullptr) {
    finish(request,
           result_code::key_rejected,
           run_outcome::not_run,
           "the key is not valid",
           nullptr,
           now);
    return;
  }
  const auto& sent = entry.request;
  request_plan plan;
  plan.database = sent.database;
  plan.write = sent.write || sent.operation != caller_operation::statement;
  plan.commit = sent.operation == caller_operation::commit;
  plan.idempotent =
    sent.idempotent || (sent.operation == caller_operation::statement && !sent.write);
  plan.owner = entry.owner;
  plan.deadline = entry.deadline;
  const auto seen = entry.session.databases.find(sent.database);
  const bool pending = seen != entry.session.databases.end() && seen->second.pending;
  plan.primary_only = sent.after_lost_answer || pending;
  entry.launched = true;
  table_.start(request, std::move(plan), now);
}

wire::forward_request
entry_service::make_forward(const open_request& entry, const attempt& next) const
{
  const auto& request = entry.request;
  wire::forward_request message;
  message.set_request_id(next.id.get());
  message.set_workspace(entry.workspace.get());
  message.set_database(next.database.get());
  message.set_member(next.member.get());
  message.set_kind(to_wire(request.operation));
  message.set_write(request.write);
  message.set_text(request.statement);
  message.set_transaction(request.transaction.get());
  message.set_traceparent("00-" + entry.trace_id + "-" + hex(next_request_) + "-01");
  message.set_idempotent(request.idempotent);
  if (entry.has_key) {
    message.set_key_digest(entry.key_digest.data(), entry.key_digest.size());
  }
  const auto seen = entry.session.databases.find(next.database);
  if (seen != entry.session.databases.end()) {
    auto* point = message.mutable_session();
    const auto& known = seen->second;
    point->set_pending(known.pending.has_value());
    point->set_term(std::max(known.point.in_term, known.pending.value_or(term())).get());
    point->set_position(known.pending ? 0 : known.point.position.get());
    message.set_needs_primary(known.pending.has_value());
  }
  message.set_needs_primary(message.needs_primary() || request.after_lost_answer);
  if (!request.write && request.operation == caller_operation::statement) {
    const auto* database = control_.config().find_database(next.database);
    const auto fallback = database == nullptr ? duration::zero() : database->default_max_age;
    const auto max_age = request.max_age.value_or(fallback);
    message.set_max_age_us(static_cast<std::uint64_t>(max_age.count()));
    // Age zero asks for the newest state, which only the primary has.
    message.set_needs_primary(message.needs_primary() || max_age <= duration::zero());
  }
  return message;
}

void
entry_service::send(const request_id& request, const attempt& next, instant now)
{
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  auto& entry = *found->second;
  const auto& members = control_.members();
  const auto target = next.owner ? *next.owner : members.home_of(next.database, next.zone, now);
  auto message = make_forward(entry, next);
  // The home ends its work earlier than the caller's deadline, so that its answer, which knows
  // whether the request ran, arrives in time.
  const auto remaining = entry.deadline - now;
  const auto usable = remaining - std::min(answer_margin, remaining / 4);
  entry.home = target;
  entry.attempt = next.id;
  entry.sent = now;
  if (target == members.self().instance) {
    message.set_expires_at_us(persimmonshelf::to_wire(now + usable));
    entry.home_incarnation = members.self().incarnation;
    message.set_target_incarnation(entry.home_incarnation.get());
    deferred_.add(
      [this, message = std::move(message)](instant at) { hooks_.submit_local(message, at); });
    return;
  }
  const auto* record = members.find(target);
  const auto clock = hooks_.peer_clock(target, now);
  const auto refused = [this, id = next.id](instant at) {
    now_ = at;
    table_.refused(id, at);
  };
  if (record == nullptr || !clock) {
    // Without the peer's clock no expiry can be stated, and a late message could run too late.
    control_.greet(target, now);
    deferred_.add(refused);
    return;
  }
  // The view of the fleet learns of a restart later than a message from the new run shows it.
  entry.home_incarnation = clock->incarnation;
  message.set_target_incarnation(entry.home_incarnation.get());
  message.set_expires_at_us(persimmonshelf::to_wire(clock->clock + usable));
  wire::envelope envelope;
  *envelope.mutable_forward() = std::move(message);
  hooks_.send(record->entry.address, std::move(envelope), refused);
}

void
entry_service::add_spans(open_request& entry, const wire::forward_answer& answer, instant now)
{
  trace_span hop{ "forward", entry.home.get(), entry.sent, now - entry.sent, {} };
  hop.tags = { { "member", answer.member() },
               { "code", std::string(name_of(static_cast<result_code>(answer.code()))) } };
  entry.spans.push_back(std::move(hop));
  // Clocks of instances are not compared, so the home's spans follow each other from the start of
  // the hop.
  auto start = entry.sent;
  const auto add = [&](const char* operation, std::uint64_t length_us) {
    const duration length(static_cast<duration::rep>(length_us));
    entry.spans.push_back({ operation, entry.home.get(), start, length, {} });
    start += length;
  };
  add("home.queue", answer.queue_us());
  add("home.backend", answer.backend_us());
  add("home.replication", answer.replication_us());
}

void
entry_service::on_answer(const wire::forward_answer& answer, instant now)
{
  now_ = now;
  const auto request = request_of_attempt(request_id(answer.request_id()));
  const auto found = open_.find(request);
  if (found == open_.end() || found->second->attempt != request_id(answer.request_id())) {
    return;
  }
  auto& entry = *found->second;
  entry.answer = answer;
  add_spans(entry, answer, now);
  attempt_answer outcome;
  outcome.id = request_id(answer.request_id());
  outcome.code = static_cast<result_code>(answer.code());
  outcome.outcome = static_cast<run_outcome>(answer.outcome());
  outcome.message = answer.message();
  if (answer.has_view()) {
    outcome.primary = member_id(answer.view().primary());
    outcome.primary_term = term(answer.view().term());
  }
  table_.answered(outcome, now);
}

void
entry_service::note_session(open_request& entry, result_code code, run_outcome outcome) const
{
  const auto& request = entry.request;
  const bool changes = request.write || request.operation == caller_operation::commit;
  if (!entry.answer || code == result_code::statement_failed) {
    if (outcome == run_outcome::unknown && changes) {
      entry.session.note_unknown_write(
        request.database, router_.primary_term(request.database), std::nullopt);
    }
    return;
  }
  const auto& seen = entry.answer->session();
  const log_point point{ term(seen.term()), log_position(seen.position()) };
  if (outcome == run_outcome::unknown) {
    if (changes) {
      const bool has_point = point.position.get() > 0;
      entry.session.note_unknown_write(
        request.database,
        std::max(point.in_term, router_.primary_term(request.database)),
        has_point ? std::optional<log_point>(point) : std::nullopt);
    }
    return;
  }
  const bool in_transaction =
    !request.transaction.get().empty() && request.operation != caller_operation::commit;
  if (outcome != run_outcome::done || in_transaction || point.position.get() == 0) {
    return;
  }
  if (entry.answer->from_replica()) {
    entry.session.note_read(request.database, point);
  } else {
    const auto primary_term = entry.answer->has_view() ? term(entry.answer->view().term()) : term();
    entry.session.note_primary_answer(
      request.database, std::max(primary_term, point.in_term), point);
  }
}

void
entry_service::finish(const request_id& request,
                      result_code code,
                      run_outcome outcome,
                      const std::string& message,
                      const attempt_answer* answer,
                      instant now)
{
  const auto found = open_.find(request);
  if (found == open_.end()) {
    return;
  }
  const auto entry = std::move(found->second);
  open_.erase(found);
  if (answer == nullptr) {
    entry->answer.reset();
  }
  note_session(*entry, code, outcome);
  caller_answer reply;
  reply.code = code;
  reply.outcome = outcome;
  reply.message = message;
  reply.request = request;
  reply.trace = entry->trace_id;
  if (entry->answer && outcome == run_outcome::done) {
    reply.rows = entry->answer->rows();
    reply.transaction = transaction_id(entry->answer->transaction());
    reply.session_discarded = entry->answer->session_discarded();
    reply.from_replica = entry->answer->from_replica();
  }
  if (auto token = session_token::encode(entry->session, hooks_.session_secret)) {
    reply.session = std::move(token).value();
  }
  trace_span whole{
    "entry", control_.members().self().instance.get(), entry->started, now - entry->started, {}
  };
  whole.tags = { { "route", entry->request.route.get() },
                 { "database", entry->request.database.get() },
                 { "workspace", entry->workspace.get() },
                 { "code", std::string(name_of(code)) },
                 { "outcome", std::string(name_of(outcome)) } };
  entry->spans.insert(entry->spans.begin(), std::move(whole));
  traces_.add(request, { entry->trace_id, std::move(entry->spans) });
  request_end end{ entry->workspace, code, outcome, now - entry->started, {}, entry->admitted };
  if (entry->answer) {
    end.backend_time = duration(static_cast<duration::rep>(entry->answer->backend_us()));
  }
  hooks_.ended(end);
  entry->reply(std::move(reply));
}

void
entry_service::revoke(const sha256_digest& key_digest, instant now)
{
  now_ = now;
  std::vector<request_id> affected;
  for (const auto& [id, entry] : open_) {
    // A request that was forwarded is ended by its home, which knows whether it ran.
    if (entry->has_key && entry->key_digest == key_digest && !entry->launched) {
      affected.push_back(id);
    }
  }
  for (const auto& id : affected) {
    finish(
      id, result_code::key_rejected, run_outcome::not_run, "the key was revoked", nullptr, now);
  }
}

void
entry_service::check_homes(instant now)
{
  const auto& members = control_.members();
  std::vector<request_id> lost;
  for (const auto& [id, entry] : open_) {
    if (!entry->attempt || entry->home == members.self().instance) {
      continue;
    }
    const auto* record = members.find(entry->home);
    const auto heard = hooks_.peer_clock(entry->home, now);
    const bool heard_run = heard && heard->incarnation == entry->home_incarnation;
    if (record == nullptr || (record->entry.incarnation != entry->home_incarnation && !heard_run)) {
      lost.push_back(*entry->attempt);
    }
  }
  table_.home_lost(lost, now);
}

void
entry_service::tick(instant now)
{
  now_ = now;
  table_.tick(now);
  if (now - homes_checked_at_ >= home_check_interval) {
    homes_checked_at_ = now;
    check_homes(now);
  }
}

}
