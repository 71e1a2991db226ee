package org.endivemux.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.function.BiFunction;
import java.util.function.Supplier;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.endivemux.model.Declaration;
import org.endivemux.model.DeclarationCheck;
import org.endivemux.model.Keys;

/** All subcommands. Stateless and thread-safe. */
final class Commands {
  private static final int KEY_BYTES = 32;

  private Commands() {}

  /** Returns all subcommands in the order of the help text. */
  static List<Command> all() {
    return Stream.concat(local().stream(), remote().stream()).toList();
  }

  /** Returns the subcommands that read files and contact no VM. */
  private static List<Command> local() {
    return List.of(
        new SimpleCommand(
            "check",
            "FILE",
            "Checks a declaration and reports each error in a sentence; contacts no VM.",
            "endivemux check gardskassan.yaml",
            (session, args) -> check(args)),
        new SimpleCommand(
            "explain",
            "REQUEST-ID LOG-FILE-OR-FOLDER...",
            "Explains from logs what happened to a request, and why; contacts no VM.",
            "endivemux explain 2a3e027586949037 logs/",
            (session, args) -> explain(args)));
  }

  /** Returns the subcommands that call a VM. */
  private static List<Command> remote() {
    return List.of(
        remoteCommand(
            "plan",
            "FILE [--id PLAN]",
            "Checks a declaration and shows its changes, cost and risks.",
            "endivemux plan gardskassan.yaml",
            Commands::plan),
        remoteCommand(
            "confirm",
            "PLAN",
            "Puts a plan in force as the configuration; repeating it returns the first result.",
            "endivemux confirm 0b7c2c6e",
            (session, args) ->
                session.post("/v1/plans/" + args.word(0, "plan") + "/confirm", Map.of())),
        remoteCommand(
            "status",
            "",
            "Shows the leader, its members, entries and orders.",
            "endivemux status --output json",
            (session, args) -> session.get("/v1/status")),
        remoteCommand(
            "entries",
            "",
            "Shows the entries that are listed to callers.",
            "endivemux entries",
            (session, args) -> session.get("/v1/entries")),
        remoteCommand(
            "key create",
            "--organisation ORG [--role CALLER|VIEWER|OPERATOR] [--label TEXT]",
            "Creates a key and prints it once; the system stores only its digest.",
            "endivemux key create --organisation eggs --label till-7",
            Commands::createKey),
        remoteCommand(
            "key withdraw",
            "DIGEST-PREFIX",
            "Withdraws a key permanently, also on open connections.",
            "endivemux key withdraw 3fa9c1d2",
            (session, args) -> session.delete("/v1/keys/" + args.word(0, "key's digest"))),
        remoteCommand(
            "backend leave",
            "ID...",
            "Stops sending new requests to backend servers.",
            "endivemux backend leave engine-3",
            (session, args) -> setLeaving(session, args, true)),
        remoteCommand(
            "backend return",
            "ID...",
            "Resumes sending requests to backend servers.",
            "endivemux backend return engine-3",
            (session, args) -> setLeaving(session, args, false)),
        remoteCommand(
            "evacuate",
            "[--end] DOMAIN",
            "Stops sending new requests to a failure domain, or resumes it with --end.",
            "endivemux evacuate dc-2",
            Commands::evacuate),
        remoteCommand(
            "usage",
            "",
            "Shows closed usage windows.",
            "endivemux usage --output json",
            (session, args) -> session.get("/v1/usage")),
        remoteCommand(
            "outcome",
            "IDEMPOTENCY-KEY",
            "Shows the outcome of an at-most-once call; needs the caller's key.",
            "endivemux outcome 019400c8-0000-7000-8000-000000000001 --key-file caller.key",
            (session, args) -> session.get("/v1/outcomes/" + args.word(0, "idempotency key"))),
        remoteCommand(
            "drain",
            "VM",
            "Drains a VM, which then stops.",
            "endivemux drain vm2",
            Commands::drain));
  }

  private static Command remoteCommand(
      String name,
      String arguments,
      String summary,
      String example,
      BiFunction<Session, Command.Arguments, JsonNode> action) {
    return new SimpleCommand(
        name, arguments, summary, example, (session, args) -> action.apply(session.get(), args));
  }

  private static JsonNode check(Command.Arguments arguments) {
    Path file = Path.of(arguments.word(0, "file"));
    readValid(file);
    return JsonNodeFactory.instance.objectNode().put("sound", file.toString());
  }

  private static JsonNode explain(Command.Arguments arguments) {
    String request = arguments.word(0, "request's id");
    arguments.word(1, "log files");
    List<String> logs = arguments.words().subList(1, arguments.words().size());
    return new RequestExplanation(request, LogFiles.read(logs)).toJson();
  }

  private static JsonNode plan(Session session, Command.Arguments arguments) {
    Declaration declaration = readValid(Path.of(arguments.word(0, "file")));
    String id = arguments.option("id", UUID.randomUUID().toString());
    return session.post("/v1/plans", Map.of("plan", id, "declaration", declaration));
  }

  /** Reads a declaration; throws {@link CliException} with a sentence for each error. */
  private static Declaration readValid(Path file) {
    Declaration declaration = readDeclaration(file);
    List<String> errors = DeclarationCheck.errors(declaration);
    if (!errors.isEmpty()) {
      throw new CliException(ExitStatus.USAGE, String.join(System.lineSeparator(), errors));
    }
    return declaration;
  }

  private static Declaration readDeclaration(Path file) {
    try {
      YAMLMapper yaml = YAMLMapper.builder().addModule(new Jdk8Module()).build();
      return yaml.readValue(Files.readString(file, StandardCharsets.UTF_8), Declaration.class);
    } catch (com.fasterxml.jackson.core.JsonProcessingException e) {
      throw new CliException(ExitStatus.USAGE, file + ": " + e.getOriginalMessage());
    } catch (IOException e) {
      throw new CliException(ExitStatus.USAGE, file + " cannot be read; check the path.");
    }
  }

  private static JsonNode createKey(Session session, Command.Arguments arguments) {
    byte[] secret = new byte[KEY_BYTES];
    new SecureRandom().nextBytes(secret);
    String key = "emx_" + Base64.getUrlEncoder().withoutPadding().encodeToString(secret);
    String digest = Keys.digest(key).value();
    session.post(
        "/v1/keys",
        Map.of(
            "digest",
            digest,
            "organisation",
            arguments.required("organisation"),
            "role",
            arguments.option("role", "CALLER"),
            "label",
            arguments.option("label", "")));
    ObjectNode result = JsonNodeFactory.instance.objectNode();
    result.put("key", key);
    result.put("digest", digest);
    return result;
  }

  private static JsonNode setLeaving(
      Session session, Command.Arguments arguments, boolean leaving) {
    arguments.word(0, "backend server");
    return session.post(
        "/v1/backends/leaving", Map.of("ids", arguments.words(), "leaving", leaving));
  }

  private static JsonNode evacuate(Session session, Command.Arguments arguments) {
    String domain = arguments.word(0, "failure domain");
    String path = "/v1/failure-domains/" + domain + "/evacuation";
    return arguments.has("end") ? session.delete(path) : session.post(path, Map.of());
  }

  private static JsonNode drain(Session session, Command.Arguments arguments) {
    String vm = arguments.word(0, "VM");
    String address =
        StreamSupport.stream(session.get("/v1/entries").path("entries").spliterator(), false)
            .filter(entry -> entry.path("vm").asText().equals(vm))
            .map(entry -> entry.path("address").asText())
            .findFirst()
            .orElseThrow(
                () -> new CliException(ExitStatus.USAGE, "No serving entry is called " + vm + "."));
    return session.forServer(address).post("/v1/drain", Map.of());
  }

  private record SimpleCommand(
      String name,
      String arguments,
      String summary,
      String example,
      BiFunction<Supplier<Session>, Command.Arguments, JsonNode> action)
      implements Command {
    @Override
    public JsonNode run(Supplier<Session> session, Arguments given) {
      return action.apply(session, given);
    }
  }
}
