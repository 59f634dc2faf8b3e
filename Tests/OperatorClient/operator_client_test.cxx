#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include "Adapters/operator_client.h"
#include "Adapters/operator_text.h"
#include "Base/digest.h"
#include "Net/http_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>

using namespace persimmonshelf;

namespace {

// An operator address that returns a fixed response to every request, or no response.
class operator_stub
{
public:
  explicit operator_stub(std::string body, unsigned status = 200, bool silent = false)
  {
    server_ = http_server::create(
                context_,
                {},
                [this, body, status, silent](accepted_number, http_request request, auto respond) {
                  request_ = std::move(request);
                  if (!silent) {
                    respond({ status, body, "application/json", false });
                  }
                })
                .value();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~operator_stub() { stop(); }

  operator_report run(const operator_command& command, bool raw = false)
  {
    const operator_client client({ "127.0.0.1", server_->port() }, std::chrono::seconds(30), raw);
    return finish(client.run(command));
  }

  operator_report run_within(const operator_command& command, duration limit)
  {
    const operator_client client({ "127.0.0.1", server_->port() }, limit, false);
    return finish(client.run(command));
  }

  const http_request& request() const { return request_; }

private:
  // The request may be read only after the thread has ended.
  operator_report finish(operator_report report)
  {
    stop();
    return report;
  }

  void stop()
  {
    if (thread_.joinable()) {
      boost::asio::post(context_, [this] { server_->stop(); });
      thread_.join();
    }
  }

  boost::asio::io_context context_;
  std::unique_ptr<http_server> server_;
  http_request request_;
  std::thread thread_;
};

std::string
sent(const operator_command& command)
{
  operator_stub stub(R"({"code":0,"name":"ok","message":""})");
  CHECK(stub.run(command).exit == operator_exit::ok);
  const auto& got = stub.request();
  return got.method + " " + got.target + " " + got.body;
}

}

// Fails if a command uses the wrong target or omits a field.
TEST_CASE("each command sends the expected request")
{
  CHECK(sent(show_config()) == "GET /v1/config ");
  CHECK(sent(diff_config("{}\n")) == R"(POST /v1/config/diff {"content":"{}\n"})");
  CHECK(
    sent(set_config({ "{}", "ann", "e1", 41, false })) ==
    R"(POST /v1/config {"content":"{}","author":"ann","edit_id":"e1","dry_run":false,"expect":41})");
  CHECK(sent(set_config({ "{}", "ann", "e1", {}, true })) ==
        R"(POST /v1/config {"content":"{}","author":"ann","edit_id":"e1","dry_run":true})");
  CHECK(sent(create_key("w", "n", "e1")) ==
        R"(POST /v1/keys {"workspace":"w","note":"n","edit_id":"e1"})");
  CHECK(sent(revoke_key("ab12", "e1")) ==
        R"(POST /v1/keys/revoke {"digest_prefix":"ab12","edit_id":"e1"})");
  CHECK(sent(list_keys()) == "GET /v1/keys ");
  CHECK(sent(show_status()) == "GET /v1/status ");
  CHECK(sent(show_status("database", "a b/c")) == "GET /v1/status/database/a%20b%2Fc ");
  CHECK(sent(show_status("workspace", "w")) == "GET /v1/status/workspace/w ");
  CHECK(sent(show_account("2026-11")) == "GET /v1/account/2026-11 ");
  CHECK(sent(show_trace("i1-77:5")) == "GET /v1/trace/i1-77:5 ");
  CHECK(sent(drain_instance()) == "POST /v1/drain {}");
}

// Fails if revoking a key sends the key itself, or if the digest includes a trailing newline that
// an editor added to the key file.
TEST_CASE("a key is revoked by its digest")
{
  const auto expected =
    R"(POST /v1/keys/revoke {"digest":")" + to_hex(sha256("pskey_1")) + R"(","edit_id":"e1"})";
  CHECK(sent(revoke_key_by_value("pskey_1", "e1")) == expected);
  CHECK(sent(revoke_key_by_value(" pskey_1\r\n", "e1")) == expected);
}

// Fails if standard output contains other fields; the configuration must stay usable after it is
// redirected to a file and edited.
TEST_CASE("standard output contains only the configuration or the new key")
{
  operator_stub config(
    R"({"code":0,"name":"ok","message":"","content":"{\n}\n","version":41,"author":"ann"})");
  const auto shown = config.run(show_config());
  CHECK(shown.output == "{\n}\n");
  CHECK(shown.notes == "version: 41\nauthor: ann\n");
  operator_stub keys(R"({"code":0,"name":"ok","message":"","key":"pskey_1","digest":"ab"})");
  const auto given = keys.run(create_key("w", "", "e1"));
  CHECK(given.output == "pskey_1\n");
  CHECK(given.notes == "digest: ab\n");
}

// Fails if the output omits fields or rows, or if table columns are not aligned.
TEST_CASE("the status is printed as text and tables")
{
  operator_stub stub(
    R"({"code":0,"name":"ok","message":"fleet of 2 instances","config_version":41,
        "zones":["z1","z2"],"lagging":[],
        "instances":[{"instance":"i1","zone":"z1","state":"live"},
                     {"instance":"instance-22","zone":"z2","state":"leaving","age_ms":700}],
        "platform":{"available":true,"since":null}})");
  std::ifstream file(PERSIMMONSHELF_TEST_DIR "/status.expected");
  const std::string expected(std::istreambuf_iterator<char>(file), {});
  CHECK(stub.run(show_status()).output == expected);
}

// Fails if a refused request is reported as success or if an error message contains a key.
TEST_CASE("a refusal is reported with its code and the concurrent changes, without keys")
{
  const std::string body =
    R"({"code":601,"name":"config_conflict","message":"version 42 by bob; pskey_abc-1 seen",)"
    R"("changed":["workspaces.w.rate"]})";
  operator_stub stub(body, 409);
  const auto report = stub.run(set_config({ "{}", "ann", "e1", 41, false }));
  CHECK(report.exit == operator_exit::refused);
  CHECK(report.output.empty());
  CHECK(report.notes == "persimmonshelf: 601 config_conflict: version 42 by bob; pskey_... seen\n"
                        "changed: workspaces.w.rate\n");
  operator_stub again(body, 409);
  const auto raw = again.run(set_config({ "{}", "ann", "e1", 41, false }), true);
  CHECK(raw.exit == operator_exit::refused);
  CHECK(raw.output == redact_keys(body) + "\n");
}

// Fails if the tool reports that nothing was sent although the change may have been made, which
// would lead an operator to repeat it with a new id, or the reverse.
TEST_CASE("a missing response is reported with whether the change may have been made")
{
  operator_stub silent("", 200, true);
  const auto lost = silent.run_within(create_key("w", "", "e1"), std::chrono::milliseconds(100));
  CHECK(lost.exit == operator_exit::unreachable);
  CHECK(lost.notes.find("may have been made") != std::string::npos);
  CHECK(lost.notes.find("--edit-id e1") != std::string::npos);

  operator_stub foreign("<html>", 404);
  CHECK(foreign.run(create_key("w", "", "e1")).exit == operator_exit::unreachable);

  // The port of a closed listener.
  std::uint16_t port = 0;
  {
    boost::asio::io_context context;
    port = http_server::create(context, {}, {}).value()->port();
  }
  const operator_client client({ "127.0.0.1", port }, std::chrono::seconds(30), false);
  const auto refused = client.run(create_key("w", "", "e1"));
  CHECK(refused.exit == operator_exit::unreachable);
  CHECK(refused.notes.find("Nothing was sent.") != std::string::npos);
  CHECK(client.run(show_status()).notes.find("Nothing") == std::string::npos);
}
