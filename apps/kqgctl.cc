#include <getopt.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr auto kExitOk = 0;
constexpr auto kExitRefused = 1;
constexpr auto kExitUsage = 2;
constexpr auto kExitUnreachable = 3;
constexpr auto kWatchInterval = std::chrono::seconds(1);
constexpr auto kTimeout = std::chrono::seconds(60);

constexpr auto kUsage = R"(Usage: kqgctl [OPTION]... COMMAND...

Sends one command to a node and prints the answer, for example:
  kqgctl show nodes
  kqgctl show jobs where on_time = false order by due limit 10
  kqgctl set service summaries lean = 0.2 --wait
  kqgctl explain request ID

Options:
  -n, --node IP:PORT          operators' address of any node
                              (default: $KQG_NODE, else 127.0.0.1:8001)
  -c, --credential-file FILE  file whose first line is the operator's token
                              (default: $KQG_CREDENTIAL_FILE)
  -o, --output table|json     form of the answer (default: table)
      --operation-id ID       id of a change; send the same one again after a
                              lost answer and it is not applied twice
  -h, --help                  print this text
      --version               print the version

Exit status: 0 done, 1 refused by the node, 2 bad usage, 3 no node answered,
4 the change is stored but not yet in force everywhere (--wait).
)";
constexpr auto kExitLagging = 4;

struct Options {
  std::string node = "127.0.0.1:8001";
  std::string credential_file;
  std::string output = "table";
  std::string operation_id;
  std::string command;
};

auto Environment(const char* name, const std::string& fallback) -> std::string {
  const auto* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

auto RandomId() -> std::string {
  auto device = std::random_device();
  auto id = std::string();
  constexpr auto kDigits = "0123456789abcdef";
  for (auto digit = 0; digit < 32; ++digit) {
    id.push_back(kDigits[device() % 16]);
  }
  return id;
}

// Returns the exit status if the program should exit at once.
auto ParseOptions(int argc, char** argv, Options& options)
    -> std::optional<int> {
  constexpr auto kOperationIdOption = 1;
  constexpr auto kVersionOption = 2;
  const auto long_options = std::vector<option>{
      {"node", required_argument, nullptr, 'n'},
      {"credential-file", required_argument, nullptr, 'c'},
      {"output", required_argument, nullptr, 'o'},
      {"operation-id", required_argument, nullptr, kOperationIdOption},
      {"help", no_argument, nullptr, 'h'},
      {"version", no_argument, nullptr, kVersionOption},
      {nullptr, 0, nullptr, 0}};
  auto letter = 0;
  // The leading '+' ends the options at the first word of the command, so that
  // options such as --wait reach the node as part of it.
  while ((letter = getopt_long(argc, argv, "+n:c:o:h", long_options.data(),
                               nullptr)) != -1) {
    switch (letter) {
      case 'n':
        options.node = optarg;
        break;
      case 'c':
        options.credential_file = optarg;
        break;
      case 'o':
        options.output = optarg;
        break;
      case kOperationIdOption:
        options.operation_id = optarg;
        break;
      case 'h':
        std::cout << kUsage;
        return kExitOk;
      case kVersionOption:
        std::cout << "kqgctl " << KQG_VERSION << "\n";
        return kExitOk;
      default:
        std::cerr << "kqgctl: see kqgctl --help\n";
        return kExitUsage;
    }
  }
  for (auto index = optind; index < argc; ++index) {
    options.command += (options.command.empty() ? "" : " ");
    options.command += argv[index];
  }
  if (options.command.empty() ||
      (options.output != "table" && options.output != "json")) {
    std::cerr << "kqgctl: give a command, and --output table or json; see "
                 "kqgctl --help\n";
    return kExitUsage;
  }
  return std::nullopt;
}

auto ReadToken(const std::string& file) -> std::string {
  auto stream = std::ifstream(file);
  auto token = std::string();
  if (!std::getline(stream, token)) {
    throw std::invalid_argument("cannot read a token from '" + file +
                                "'; name a file with --credential-file");
  }
  return token;
}

auto Send(const Options& options, const std::string& token) -> nlohmann::json {
  const auto colon = options.node.rfind(':');
  if (colon == std::string::npos) {
    throw std::invalid_argument("bad node address '" + options.node +
                                "'; write IP:PORT");
  }
  auto context = asio::io_context();
  auto stream = beast::tcp_stream(context);
  auto request =
      http::request<http::string_body>(http::verb::post, "/v1/command", 11);
  request.set(http::field::host, options.node);
  request.set(http::field::authorization, "Bearer " + token);
  request.body() = nlohmann::json{{"command", options.command},
                                  {"operation_id", options.operation_id}}
                       .dump();
  request.prepare_payload();
  auto response = http::response<http::string_body>();
  auto buffer = beast::flat_buffer();
  auto failed = boost::system::error_code();
  stream.expires_after(kTimeout);
  stream.async_connect(
      asio::ip::tcp::endpoint(
          asio::ip::make_address(options.node.substr(0, colon)),
          static_cast<std::uint16_t>(
              std::stoul(options.node.substr(colon + 1)))),
      [&](const boost::system::error_code& error) { failed = error; });
  context.run();
  context.restart();
  if (failed) {
    throw boost::system::system_error(failed);
  }
  http::write(stream, request);
  http::async_read(stream, buffer, response,
                   [&](const boost::system::error_code& error, std::size_t) {
                     failed = error;
                   });
  context.run();
  if (failed) {
    throw boost::system::system_error(failed);
  }
  return nlohmann::json::parse(response.body());
}

auto CellText(const nlohmann::json& value) -> std::string {
  if (value.is_null()) {
    return "-";
  }
  return value.is_string() ? value.get<std::string>() : value.dump();
}

auto PrintTable(const nlohmann::json& rows) -> void {
  auto columns = std::vector<std::string>();
  auto widths = std::map<std::string, std::size_t>();
  for (const auto& row : rows) {
    for (const auto& [name, value] : row.items()) {
      if (!widths.contains(name)) {
        columns.push_back(name);
        widths[name] = name.size();
      }
      widths[name] = std::max(widths[name], CellText(value).size());
    }
  }
  const auto print_cell = [&widths](const std::string& name,
                                    const std::string& text) {
    std::cout << text << std::string(widths[name] - text.size() + 2, ' ');
  };
  for (const auto& name : columns) {
    print_cell(name, name);
  }
  std::cout << "\n";
  for (const auto& row : rows) {
    for (const auto& name : columns) {
      print_cell(name, CellText(row.value(name, nlohmann::json())));
    }
    std::cout << "\n";
  }
}

auto PrintAnswer(const nlohmann::json& answer) -> void {
  const auto& rows = answer["rows"];
  // A single row with nested values is easier to read as indented JSON.
  const auto nested =
      rows.size() == 1 &&
      std::any_of(rows[0].begin(), rows[0].end(), [](const auto& value) {
        return value.is_structured() && !value.empty();
      });
  if (nested) {
    std::cout << rows[0].dump(2) << "\n";
  } else {
    PrintTable(rows);
  }
  if (answer.contains("revision")) {
    std::cout << "revision " << answer["revision"] << "\n";
  }
  if (answer.contains("in_force")) {
    std::cout << "in force " << answer["in_force"].dump() << "\n";
  }
}

auto RunOnce(const Options& options, const std::string& token) -> int {
  const auto answer = Send(options, token);
  if (options.output == "json") {
    std::cout << answer.dump() << std::endl;
  }
  if (!answer.value("ok", false)) {
    if (options.output != "json") {
      std::cerr << "kqgctl: " << answer["error"]["message"].get<std::string>()
                << "\n";
    }
    return kExitRefused;
  }
  if (options.output != "json") {
    PrintAnswer(answer);
  }
  const auto lagging = answer.contains("in_force") &&
                       !answer["in_force"].value("everywhere", false);
  return lagging ? kExitLagging : kExitOk;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto options = Options();
  options.node = Environment("KQG_NODE", options.node);
  options.credential_file = Environment("KQG_CREDENTIAL_FILE", "");
  if (const auto status = ParseOptions(argc, argv, options)) {
    return *status;
  }
  if (options.operation_id.empty()) {
    options.operation_id = RandomId();
  }
  try {
    const auto token = ReadToken(options.credential_file);
    auto status = RunOnce(options, token);
    while (options.command.starts_with("watch") && status == kExitOk) {
      std::this_thread::sleep_for(kWatchInterval);
      status = RunOnce(options, token);
    }
    return status;
  } catch (const boost::system::system_error& error) {
    std::cerr << "kqgctl: no answer from " << options.node << " ("
              << error.code().message() << "); name another node with --node";
    std::cerr << ". A change may have been stored: send it again with "
                 "--operation-id "
              << options.operation_id << "\n";
    return kExitUnreachable;
  } catch (const std::exception& error) {
    std::cerr << "kqgctl: " << error.what() << "\n";
    return kExitUsage;
  }
}
