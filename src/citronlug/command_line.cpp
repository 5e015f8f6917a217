#include "command_line.h"

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <fstream>

namespace citronlug {

namespace {

constexpr auto commands_help = R"(
Commands:
  rules check FILE                 check a rules file; needs no server
  rules diff FILE                  show what FILE would change, and in which version
  rules apply FILE --base VERSION --summary TEXT [--wait]
                                   apply FILE if VERSION is still the newest
  rules show | rules history       the rules in force; the last changes with their authors
  key issue ACCOUNT --requester WHO
                                   issue a key for a client account; it is shown once
  key withdraw ID --reason WHY     withdraw a key
  key list [--account ACCOUNT]     all keys, without their secrets
  status | versions                state of the instance; versions in force at all instances
  timeline [--database D] [--account A] [--request R] [--limit N]
  explain REQUEST FILE...          lines in the logs of session instances that explain how a request ended;
                                   needs no server
  metrics                          counters and latencies as text

Exit codes: 0 done, 1 refused, failed or unknown, 2 usage, 3 conflicting change, 4 not in force in time.
)";

auto make_options() -> cxxopts::Options {
    auto options = cxxopts::Options{"citronlug", "Operators' command line of the database proxy citronlug"};
    auto add = options.add_options();
    add("server", "IP:PORT of an administration API; repeatable, tried in order",
        cxxopts::value<std::vector<std::string>>()->default_value("127.0.0.1:7301"));
    add("token-file", "file with the administration token; default: environment variable CITRONLUG_TOKEN",
        cxxopts::value<std::string>()->default_value(""));
    add("json", "print JSON");
    add("timeout", "timeout of one API call in seconds, 1 to 600",
        cxxopts::value<int>()->default_value("10"));
    add("wait", "wait until the change is in force at all instances");
    add("wait-seconds", "longest wait in seconds, 1 to 3600", cxxopts::value<int>()->default_value("6"));
    for (const auto& [name, text] :
         {std::pair{"base", "version that the change is based on, or 'newest'"},
          std::pair{"summary", "one-line description of the change"},
          std::pair{"requester", "who asked for the key"}, std::pair{"reason", "why the key is withdrawn"},
          std::pair{"database", "only events of this database"},
          std::pair{"account", "only events or keys of this client account"},
          std::pair{"request", "only events of this request id"}, std::pair{"limit", "number of events"}}) {
        add(name, text, cxxopts::value<std::string>());
    }
    add("h,help", "show this text");
    add("words", "command", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({"words"});
    options.positional_help("COMMAND ...");
    return options;
}

} // namespace

auto parse_command_line(int argc, const char* const* argv, std::ostream& out, std::ostream& err)
    -> std::variant<command_line, exit_code> {
    auto options = make_options();
    try {
        const auto parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0) {
            out << options.help() << commands_help;
            return exit_code::done;
        }
        auto line = command_line{};
        if (parsed.count("words") > 0) {
            line.arguments = parsed["words"].as<std::vector<std::string>>();
        }
        line.servers = parsed["server"].as<std::vector<std::string>>();
        line.token_file = parsed["token-file"].as<std::string>();
        line.json = parsed.count("json") > 0;
        line.wait = parsed.count("wait") > 0;
        line.timeout = std::chrono::seconds{parsed["timeout"].as<int>()};
        line.wait_time = std::chrono::seconds{parsed["wait-seconds"].as<int>()};
        for (const auto* name :
             {"base", "summary", "requester", "reason", "database", "account", "request", "limit"}) {
            if (parsed.count(name) > 0) {
                line.options[name] = parsed[name].as<std::string>();
            }
        }
        if (line.timeout < 1s || line.timeout > 600s || line.wait_time < 1s || line.wait_time > 3600s) {
            fmt::print(err, "accepted: --timeout 1 to 600, --wait-seconds 1 to 3600\n");
            return exit_code::usage;
        }
        if (line.arguments.empty()) {
            err << options.help() << commands_help;
            return exit_code::usage;
        }
        return line;
    } catch (const cxxopts::exceptions::exception& error) {
        fmt::print(err, "{}; see citronlug --help\n", error.what());
        return exit_code::usage;
    }
}

auto read_token(const command_line& line, const char* environment) -> std::string {
    auto token = std::string{};
    if (!line.token_file.empty()) {
        auto in = std::ifstream{line.token_file};
        std::getline(in, token);
    } else if (environment != nullptr) {
        token = environment;
    }
    constexpr auto whitespace = " \t\r\n";
    const auto start = token.find_first_not_of(whitespace);
    return start == std::string::npos ? ""
                                      : token.substr(start, token.find_last_not_of(whitespace) - start + 1);
}

} // namespace citronlug
