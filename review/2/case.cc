// Stand-in for the operator: sends one desired state, or reads the newest one back.
// Usage: case-2 RECORD put VERSION BASE SECONDS ADDRESS...
//        case-2 RECORD get SECONDS ADDRESS...
// Prints the status and, for `get`, the version; 0 if no clear answer came in time.

#include "stand_ins.hh"

using namespace stand_ins;

int main(int argc, char** argv)
{
    if (argc < 5)
        return 2;
    bool const puts = std::string(argv[2]) == "put";
    int const first = puts ? 6 : 4;
    if (argc <= first)
        return 2;
    std::vector<address> control;
    for (int n = first; n < argc; ++n)
        control.push_back({argv[n], 8667});
    auto const limit = std::chrono::seconds(std::atoi(argv[first - 1]));
    std::string body;
    if (puts)
    {
        auto const plan = desired_state(
            argv[3], {{.name = "r-desk", .prefix = "/desk/", .service = "desk"}}, {"desk"});
        std::printf("%d\n", order(control, "POST", "/api/config/replace",
                                  "Base-Version: " + std::string(argv[4]) + "\r\n", plan, limit));
        return 0;
    }
    auto const status = order(control, "GET", "/api/config/get", "", "", limit, &body);
    auto const at = body.find("\"Version\":\"");
    std::printf("%d %s\n", status,
                at == std::string::npos
                    ? "-"
                    : body.substr(at + 11, body.find('"', at + 11) - at - 11).c_str());
    return 0;
}
