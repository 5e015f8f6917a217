#include "command_line.h"
#include "commands.h"
#include "http_client.h"

#include <QCoreApplication>

#include <fmt/format.h>

#include <cstdlib>
#include <iostream>

auto main(int argc, char** argv) -> int {
    using namespace citronlug;
    auto application = QCoreApplication{argc, argv};
    const auto parsed = parse_command_line(argc, argv, std::cout, std::cerr);
    if (const auto* code = std::get_if<exit_code>(&parsed); code != nullptr) {
        return static_cast<int>(*code);
    }
    const auto& line = std::get<command_line>(parsed);
    const auto offline =
        line.arguments[0] == "explain" ||
        (line.arguments.size() > 1 && line.arguments[0] == "rules" && line.arguments[1] == "check");
    const auto token = read_token(line, std::getenv("CITRONLUG_TOKEN"));
    if (token.empty() && !offline) {
        fmt::print(stderr, "no administration token; give --token-file FILE or set CITRONLUG_TOKEN\n");
        return static_cast<int>(exit_code::usage);
    }
    auto client = http_client{line.servers, token, line.timeout};
    auto context = command_context{client, std::cout, std::cerr};
    return static_cast<int>(run_command(line, context));
}
