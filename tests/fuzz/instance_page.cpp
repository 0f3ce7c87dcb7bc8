// Any text as a page of the platform's list: read whole or not at all.
#include "control/instance_list.h"
#include "fuzz/fuzz.h"

using namespace dewweir;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::optional<control::InstancePage> page = control::parse_instance_page(fuzz::text_of(data, size));
    if (!page) return 0;
    for (const auto& [id, instance] : page->instances) fuzz::must_hold(id == instance.id);
    return 0;
}
