#include "api/status.h"

#include <algorithm>
#include <array>

namespace dewweir::api {
namespace {

struct Phrase {
    int status;
    std::string_view line;
};

constexpr std::array phrases = {
    Phrase{200, "200 OK"},
    Phrase{201, "201 Created"},
    Phrase{202, "202 Accepted"},
    Phrase{204, "204 No Content"},
    Phrase{307, "307 Temporary Redirect"},
    Phrase{400, "400 Bad Request"},
    Phrase{401, "401 Unauthorized"},
    Phrase{403, "403 Forbidden"},
    Phrase{404, "404 Not Found"},
    Phrase{405, "405 Method Not Allowed"},
    Phrase{408, "408 Request Timeout"},
    Phrase{409, "409 Conflict"},
    Phrase{412, "412 Precondition Failed"},
    Phrase{413, "413 Content Too Large"},
    Phrase{421, "421 Misdirected Request"},
    Phrase{422, "422 Unprocessable Content"},
    Phrase{429, "429 Too Many Requests"},
    Phrase{431, "431 Request Header Fields Too Large"},
    Phrase{500, "500 Internal Server Error"},
    Phrase{502, "502 Bad Gateway"},
    Phrase{503, "503 Service Unavailable"},
    Phrase{504, "504 Gateway Timeout"},
};

}  // namespace

std::string_view status_line(int status) {
    const auto* const found = std::find_if(phrases.begin(), phrases.end(),
                                           [&](const Phrase& phrase) { return phrase.status == status; });
    return found == phrases.end() ? std::string_view("200 OK").substr(0, 0) : found->line;
}

}  // namespace dewweir::api
