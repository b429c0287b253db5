#include "standin/demo.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

int runDemo(const std::string &name)
{
    const std::string path =
        name.ends_with(".ini") ? name : std::string(SAMPHIRESWITCH_SOURCE_DIR) + "/examples/" + name + ".ini";
    const std::ifstream file(path);
    if (!file) {
        std::cerr << "there is no declaration " << path << std::endl;
        return 2;
    }
    std::ostringstream declaration;
    declaration << file.rdbuf();
    const std::filesystem::path directory =
        std::filesystem::temp_directory_path() / ("samphireswitch-demo-" + std::to_string(::getpid()));
    samphireswitch::standin::Demo demo(declaration.str(), directory);
    return demo.run() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: samphireswitch-demo verbano|bulgaria-south|DECLARATION.ini" << std::endl;
        return 2;
    }
    try {
        return runDemo(argv[1]);
    } catch (const std::exception &error) {
        std::cerr << "the demo failed: " << error.what() << std::endl;
        return 1;
    }
}
