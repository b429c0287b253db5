#include "commands/commandline.h"

#include "base/attempt.h"
#include "commands/checkcommand.h"
#include "commands/confirmcommand.h"
#include "commands/options.h"
#include "commands/plancommand.h"
#include "commands/replaycommand.h"
#include "commands/statuscommand.h"
#include "commands/timelinecommand.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <string_view>

namespace samphireswitch::commands {

namespace {

constexpr int s_failureStatus = 1;
constexpr int s_usageStatus = 2;
constexpr std::string_view s_balancerCommand = "balancer";
constexpr std::string_view s_agentCommand = "agent";

/** A subcommand. */
struct Command
{
    std::string name;
    /** Name of the positional argument; empty if there is none, with `...` at the end if it may be repeated. */
    std::string argument;
    std::string summary;
    std::vector<std::string> requiredFlags;
    std::vector<std::string> optionalFlags;
    /** More text for `--help`. */
    std::string details;
    std::function<Result<int>(const Options &, const std::vector<std::string> &arguments)> run;
    /** Exit status of a failure. */
    int failureStatus = s_failureStatus;
};

/** What the arguments after the subcommand ask for. */
struct Arguments
{
    bool help = false;
    std::vector<std::string> positional;
    std::set<std::string> flags;
};

Error usageError(const std::string &message)
{
    return {ResultCode::UsageError, message};
}

std::vector<Command> makeCommands(const ProcessEntryPoints &entryPoints, std::ostream &out)
{
    using Positional = std::vector<std::string>;
    const auto runBalancer = [entryPoints](const Options &, const Positional &paths) -> Result<int> {
        BOOST_LEAF_AUTO(settings, settings::loadBalancerSettings(paths.front()));
        return entryPoints.runBalancer(settings, paths.front());
    };
    const auto runAgent = [entryPoints](const Options &, const Positional &paths) -> Result<int> {
        BOOST_LEAF_AUTO(settings, settings::loadAnyAgentSettings(paths.front()));
        return entryPoints.runAgent(settings, paths.front());
    };
    const auto withArgument = [&out](auto run) {
        return [&out, run](const Options &options, const Positional &arguments) {
            return run(options, arguments.front(), out);
        };
    };
    const auto withoutArgument = [&out](auto run) {
        return [&out, run](const Options &options, const Positional &) { return run(options, out); };
    };
    return {
        {std::string(s_balancerCommand),
         "SETTINGS",
         "run a balancer",
         {},
         {},
         "Keys of the settings file:\n" + settings::describeBalancerSettings(),
         runBalancer},
        {std::string(s_agentCommand),
         "SETTINGS",
         "run the agent of an upstream",
         {},
         {},
         "Keys of the settings file with delivery = terminated:\n" + settings::describeAgentSettings()
             + "Keys of the settings file with delivery = passthrough:\n"
             + settings::describePassthroughAgentSettings(),
         runAgent},
        {"plan",
         "FILE",
         "compare a declaration file with the configuration in force, and store a plan",
         {"store"},
         {"balancers", "prune", "close", "time_limit"},
         "With --balancers, the plan can see which services hold no flow.\n",
         withArgument(runPlan)},
        {"confirm",
         "PLAN",
         "put a stored plan in force",
         {"store"},
         {"balancers", "time_limit"},
         "With --balancers, offers the configuration to these balancers and reports who has it in force.\n",
         withArgument(runConfirm)},
        {"status",
         "",
         "show the state of every process and what a drain waits for",
         {"balancers"},
         {"time_limit"},
         {},
         withoutArgument(runStatus)},
        {"timeline",
         "",
         "show the events of all processes in the order of their messages",
         {"balancers"},
         {"flow", "request", "service", "host", "generation", "time_limit"},
         {},
         withoutArgument(runTimeline)},
        {"check",
         "FILE",
         "validate a settings file or a configuration, and compare the latter with the one in force",
         {},
         {"kind", "store", "against", "time_limit"},
         "Exits with 0 if there is no problem, 1 if there are warnings, 2 if there are errors.\n",
         withArgument(runCheck),
         s_checkErrorStatus},
        {"replay",
         "FILE...",
         "replay the traces of a service's agents and check what they did",
         {},
         {},
         "Prints the violations and exits with status 1, or prints counts if there are none.\n",
         [&out](const Options &, const Positional &files) { return runReplay(files, out); }},
    };
}

std::string generalHelp(const std::vector<Command> &commands)
{
    std::string text = "usage: samphireswitch COMMAND [ARGUMENT] [FLAGS]\n";
    for (const Command &command : commands) {
        text += "  " + command.name + (command.argument.empty() ? "" : " " + command.argument) + ": " + command.summary
            + '\n';
    }
    return text + "samphireswitch COMMAND --help describes a command.\n";
}

std::string helpOf(const Command &command)
{
    std::string text =
        "usage: samphireswitch " + command.name + (command.argument.empty() ? "" : " " + command.argument);
    for (const std::string &flag : command.requiredFlags) {
        text += " --" + flag + "=...";
    }
    text += (command.optionalFlags.empty() ? "\n" : " [FLAGS]\n") + command.summary + '\n';
    for (const std::string &flag : command.requiredFlags) {
        text += "  " + describeFlag(flag) + " (required)\n";
    }
    for (const std::string &flag : command.optionalFlags) {
        text += "  " + describeFlag(flag) + '\n';
    }
    return text + command.details;
}

bool takesFlag(const Command &command, const std::string &flag)
{
    return std::ranges::find(command.requiredFlags, flag) != command.requiredFlags.end()
        || std::ranges::find(command.optionalFlags, flag) != command.optionalFlags.end();
}

/** Reads the arguments after the subcommand and sets the flags. */
class ArgumentReader
{
public:
    ArgumentReader(const Command &command, const std::vector<std::string> &arguments)
        : m_command(command)
        , m_arguments(arguments)
    {
    }

    Result<Arguments> read()
    {
        for (m_index = 1; m_index < m_arguments.size(); ++m_index) {
            const std::string &argument = m_arguments[m_index];
            if (!argument.starts_with('-')) {
                m_result.positional.push_back(argument);
                continue;
            }
            auto result = readFlag(argument);
            if (!result) {
                return result.error();
            }
        }
        auto complete = m_result.help ? Result<void>() : checkComplete();
        if (!complete) {
            return complete.error();
        }
        return m_result;
    }

private:
    Result<void> readFlag(const std::string &argument)
    {
        const std::string text = argument.substr(argument.starts_with("--") ? 2 : 1);
        const auto equals = text.find('=');
        const std::string name = text.substr(0, equals);
        if (text == "help" || text == "h") {
            m_result.help = true;
            return {};
        }
        if (!takesFlag(m_command, name)) {
            return boost::leaf::new_error(
                usageError("the command " + m_command.name + " has no flag '" + argument + "'"));
        }
        if (!m_result.flags.insert(name).second) {
            return boost::leaf::new_error(usageError("--" + name + " is given twice"));
        }
        if (equals != std::string::npos) {
            return setFlag(name, text.substr(equals + 1));
        }
        if (isBoolFlag(name)) {
            return setFlag(name, "true");
        }
        ++m_index;
        if (m_index >= m_arguments.size()) {
            return boost::leaf::new_error(usageError("--" + name + " needs a value"));
        }
        return setFlag(name, m_arguments[m_index]);
    }

    Result<void> checkComplete() const
    {
        const std::size_t expected = m_command.argument.empty() ? 0 : 1;
        if (m_result.positional.size() < expected) {
            return boost::leaf::new_error(usageError("the argument " + m_command.argument + " is missing"));
        }
        if (m_result.positional.size() > expected && !m_command.argument.ends_with("...")) {
            return boost::leaf::new_error(
                usageError("the argument '" + m_result.positional[expected] + "' is one too many"));
        }
        for (const std::string &flag : m_command.requiredFlags) {
            if (!m_result.flags.contains(flag)) {
                return boost::leaf::new_error(usageError("the flag --" + flag + " is missing"));
            }
        }
        return {};
    }

    const Command &m_command;
    const std::vector<std::string> &m_arguments;
    std::size_t m_index = 0;
    Arguments m_result;
};

Result<int> runCommand(const Command &command, const std::vector<std::string> &arguments, std::ostream &out)
{
    BOOST_LEAF_AUTO(parsed, ArgumentReader(command, arguments).read());
    if (parsed.help) {
        out << helpOf(command);
        return 0;
    }
    BOOST_LEAF_AUTO(options, readOptions());
    const bool needsBalancers = std::ranges::find(command.requiredFlags, "balancers") != command.requiredFlags.end();
    const bool needsStore = std::ranges::find(command.requiredFlags, "store") != command.requiredFlags.end();
    if ((needsBalancers && options.balancers.empty()) || (needsStore && !options.store)) {
        return boost::leaf::new_error(
            usageError(std::string(needsStore ? "--store" : "--balancers") + " must not be empty"));
    }
    return command.run(options, parsed.positional);
}

} // namespace

bool runsUntilSignal(const std::vector<std::string> &arguments)
{
    return !arguments.empty() && (arguments.front() == s_balancerCommand || arguments.front() == s_agentCommand);
}

int runCommandLine(const std::vector<std::string> &arguments,
                   const ProcessEntryPoints &entryPoints,
                   std::ostream &out,
                   std::ostream &errors)
{
    // Puts the flags back, so that one process can run several command lines.
    const gflags::FlagSaver saver;
    const std::vector<Command> commands = makeCommands(entryPoints, out);
    if (arguments.empty()) {
        errors << generalHelp(commands);
        return s_usageStatus;
    }
    if (arguments.front() == "--help" || arguments.front() == "-h" || arguments.front() == "help") {
        out << generalHelp(commands);
        return 0;
    }
    const auto command = std::ranges::find(commands, arguments.front(), &Command::name);
    if (command == commands.end()) {
        errors << "samphireswitch: '" << arguments.front() << "' is not a command\n" << generalHelp(commands);
        return s_usageStatus;
    }
    const auto outcome = attempt([&] { return runCommand(*command, arguments, out); });
    const Error *error = std::get_if<Error>(&outcome);
    if (error == nullptr) {
        return std::get<int>(outcome);
    }
    errors << "samphireswitch: " << resultCodeName(error->code) << " (" << static_cast<int>(error->code)
           << "): " << error->message << '\n';
    if (error->code != ResultCode::UsageError) {
        return command->failureStatus;
    }
    errors << helpOf(*command);
    return s_usageStatus;
}

} // namespace samphireswitch::commands
