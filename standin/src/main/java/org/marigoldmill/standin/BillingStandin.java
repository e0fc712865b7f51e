package org.marigoldmill.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.marigoldmill.http.HttpResponse;
import org.marigoldmill.http.HttpServer;
import org.marigoldmill.http.HttpServer.Request;
import org.marigoldmill.http.ProtoJson;
import org.marigoldmill.schema.log.Usage;
import org.marigoldmill.schema.platform.ReportList;
import org.marigoldmill.schema.platform.ReportReply;
import org.marigoldmill.schema.platform.UsageReport;
import org.marigoldmill.schema.settings.StandinSettings;

/** Fake billing API of the platform; keeps all usage reports, so that tests can check them. */
public final class BillingStandin implements Standin {
  private final Map<String, UsageReport> firstByWindow = new LinkedHashMap<>();
  private final List<UsageReport> reports = new ArrayList<>();
  private final HttpServer server;

  private BillingStandin(StandinSettings settings, Runnable crash) {
    Faults faults = new Faults(crash);
    this.server =
        faults
            .installRoute(HttpServer.forAddress(settings.getAddress()))
            .post("/reports", faults.wrap(this::report))
            .get("/reports", q -> HttpResponse.json(reports()))
            .start();
  }

  /** Starts the server; an injected crash fault runs {@code crash}. */
  public static BillingStandin start(StandinSettings settings, Runnable crash) {
    return new BillingStandin(settings, crash);
  }

  @Override
  public String address() {
    return server.address();
  }

  @Override
  public void close() {
    server.close();
  }

  /** Returns all reports received, including duplicates. */
  public synchronized ReportList reports() {
    return ReportList.newBuilder()
        .addAllReports(reports)
        .addAllDistinct(firstByWindow.values())
        .build();
  }

  /** Returns the tokens of an organisation, summed over the first report of each window. */
  public synchronized long reportedTokens(String organisation) {
    return firstByWindow.values().stream()
        .flatMap(r -> r.getUsageList().stream())
        .filter(u -> u.getOrganisation().equals(organisation))
        .mapToLong(Usage::getTokens)
        .sum();
  }

  private synchronized HttpResponse report(Request request) {
    UsageReport report = ProtoJson.parse(request.body(), UsageReport.getDefaultInstance());
    reports.add(report);
    firstByWindow.putIfAbsent(report.getScope() + "/" + report.getWindow(), report);
    return HttpResponse.json(ReportReply.newBuilder().setAccepted(true).build());
  }
}
