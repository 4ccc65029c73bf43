package mulleinfront.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import mulleinfront.bench.AddedTime;
import mulleinfront.bench.CapacityFile;
import mulleinfront.bench.IdleCost;
import mulleinfront.bench.ListCost;
import mulleinfront.bench.MembershipCost;
import mulleinfront.bench.SnapshotCost;
import mulleinfront.capacity.Capacity;
import mulleinfront.capacity.Figure;
import mulleinfront.capacity.Fit;
import mulleinfront.capacity.Page;
import mulleinfront.capacity.Row;
import mulleinfront.capacity.Slope;
import mulleinfront.settings.BadFileException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * {@code bench capacity}: measures the slopes of docs/CAPACITY.md and holds the figures at the size against
 * budgets.
 */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures each slope at four sizes or more, fits it, works the figure out at the size,"
                + " and prints budget and margin.",
        footer = {
            "",
            "Exit codes: 0 all figures are within budget, 2 bad input (one line on standard error),"
                    + " 3 one is over, or nothing carries a row."
        })
final class CapacityCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Option(
            names = "--role",
            paramLabel = "R",
            description = "this role's rows and slopes only: the words of a role, or"
                    + " of a part of it, as the page has them")
    private String role;

    @Option(
            names = "--from",
            paramLabel = "FILE",
            defaultValue = "docs/capacity.json",
            description = "size, slopes, rows and mechanisms (default ${DEFAULT-VALUE})")
    private Path from;

    @Option(
            names = "--json",
            paramLabel = "F",
            description =
                    "writes all of it with what was measured in place of what" + " was held; may be the same file")
    private Path json;

    @Option(
            names = "--page",
            paramLabel = "FILE",
            description = "writes the tables of a page anew, as the slopes give" + " them")
    private Path page;

    @Option(
            names = "--size",
            paramLabel = "N",
            description = "so many hosts in place of the file's, calls in proportion")
    private Integer hosts;

    @Option(
            names = "--at",
            split = ",",
            paramLabel = "N",
            defaultValue = "50,167,335,670,1340",
            description = "sizes to measure at (default ${DEFAULT-VALUE})")
    private int[] at;

    @Option(
            names = "--rates",
            split = ",",
            paramLabel = "N",
            defaultValue = "60,150,300,600",
            description = "calls a second to measure the data path at (default ${DEFAULT-VALUE})")
    private int[] rates;

    @Option(
            names = "--services",
            split = ",",
            paramLabel = "N",
            defaultValue = "10,20,40,77,154",
            description = "numbers of services to measure a configuration at (default ${DEFAULT-VALUE})")
    private int[] services;

    @Option(
            names = "--sample",
            paramLabel = "FILE",
            defaultValue = "deploy/sample-config.json",
            description = "whose settings stand for each service's (default ${DEFAULT-VALUE})")
    private Path sample;

    @Option(
            names = "--requests",
            paramLabel = "N",
            defaultValue = "1000",
            description = "calls measured at each rate, at the least (default ${DEFAULT-VALUE})")
    private int requests;

    @Option(
            names = "--seed",
            paramLabel = "N",
            defaultValue = "1",
            description = "the one source of chance on virtual time (default ${DEFAULT-VALUE})")
    private long seed;

    @Option(names = "--as-held", description = "measures nothing: the figures that the file's slopes give")
    private boolean asHeld;

    @Override
    public Integer call() throws BadFileException, IOException, InterruptedException {
        for (int[] sizes : List.of(at, rates, services)) {
            if (Arrays.stream(sizes).distinct().count() < Fit.LEAST_POINTS
                    || Arrays.stream(sizes).anyMatch(n -> n < 10)) {
                throw new ParameterException(
                        spec.commandLine(),
                        "a slope needs " + Fit.LEAST_POINTS + " sizes or more, each of 10 at least");
            }
        }
        if (requests < 1 || hosts != null && hosts < 10) {
            throw new ParameterException(
                    spec.commandLine(),
                    hosts != null && hosts < 10 ? "--size must be 10 at least" : "--requests must be 1 at least");
        }
        Capacity all = CapacityFile.read(from);
        List<Row> rows = rows(all);
        PrintWriter out = spec.commandLine().getOut();
        if (!asHeld) {
            all = all.with(measure(all, rows, out));
        }
        if (json != null) {
            CapacityFile.write(json, all);
        }
        if (page != null) {
            try {
                Files.writeString(page, new Page(all).fill(Files.readString(page)));
            } catch (IllegalArgumentException e) {
                throw new BadFileException(page + ": " + e.getMessage());
            } catch (IOException e) {
                throw new BadFileException(page + ": can't be read or written");
            }
        }
        return print(hosts == null ? all : all.at(all.size().withHosts(hosts)), rows, out);
    }

    private List<Row> rows(Capacity all) {
        List<Row> rows = all.rows().stream()
                .filter(r -> role == null || r.role().equals(role) || r.part().equals(role))
                .toList();
        if (rows.isEmpty()) {
            throw new ParameterException(
                    spec.commandLine(),
                    "there is no role " + role + "; there are "
                            + all.rows().stream().map(Row::role).distinct().collect(Collectors.joining(", ")));
        }
        return rows;
    }

    /** Only what these rows stand on is measured; what each group measures begins with its name. */
    private List<Slope> measure(Capacity all, List<Row> rows, PrintWriter out)
            throws IOException, InterruptedException {
        Set<String> groups = rows.stream()
                .flatMap(r -> r.cells().stream())
                .flatMap(c -> c.terms().stream())
                .map(t -> t.slope().substring(0, Math.max(0, t.slope().indexOf('.'))))
                .collect(Collectors.toSet());
        String again = "bench capacity --role ";
        List<Slope> measured = new ArrayList<>();
        if (groups.contains("membership")) {
            measured.addAll(MembershipCost.measure(
                    out,
                    at,
                    seed,
                    all.size().of("rack-hosts") / all.size().of("hosts"),
                    (int) all.size().of("zones"),
                    again + "membership"));
        }
        if (groups.contains("lists")) {
            measured.addAll(ListCost.measure(at, again + "lists"));
        }
        if (groups.contains("configuration")) {
            measured.addAll(SnapshotCost.measure(services, sample, again + "configuration"));
        }
        if (groups.contains("idle")) {
            measured.addAll(IdleCost.measure(at, again + "process"));
        }
        if (groups.contains("data")) {
            measured.addAll(new AddedTime(out).measure(rates, requests, again + "\"data path\""));
        }
        return measured;
    }

    private Integer print(Capacity all, List<Row> rows, PrintWriter out) {
        Set<String> used = rows.stream()
                .flatMap(r -> r.cells().stream())
                .flatMap(c -> c.terms().stream())
                .map(Row.Term::slope)
                .collect(Collectors.toSet());
        for (Slope s : all.slopes()) {
            if (used.contains(s.id()) && all.fit(s.id()) != null) {
                out.printf(
                        Locale.ROOT,
                        "%-28s %s, by %s: %s%n",
                        s.id(),
                        s.unit(),
                        s.per(),
                        all.fit(s.id()).text());
            }
        }
        Set<Row> mine = Set.copyOf(rows);
        List<Figure> figures = all.figures().stream()
                .filter(f -> mine.contains(f.row()))
                .sorted(Comparator.comparingDouble(Figure::share).reversed())
                .toList();
        out.printf(Locale.ROOT, "%n%-64s %-10s %12s %12s %8s%n", "row", "measure", "figure", "budget", "margin");
        for (Figure f : figures) {
            Row r = f.row();
            boolean bounded = !Double.isNaN(f.budget());
            out.printf(
                    Locale.ROOT,
                    "%-64s %-10s %12s %12s %8s%s%n",
                    r.role() + ", " + r.part() + ", " + r.when(),
                    f.cell().measure().word(),
                    Double.isNaN(f.value()) ? "-" : Page.number(f.value()),
                    bounded ? Page.number(f.budget()) : "-",
                    r.none()
                            ? "none"
                            : bounded && !Double.isNaN(f.value())
                                    ? String.format(Locale.ROOT, "%.0f%%", 100 * f.margin())
                                    : "-",
                    f.over() ? "  over" : "");
        }
        boolean over = figures.stream().anyMatch(Figure::over);
        out.println(over ? "over budget, or carried by nothing" : "all within budget");
        return over ? CommandLine.RULE_BROKEN : CommandLine.KEPT;
    }
}
