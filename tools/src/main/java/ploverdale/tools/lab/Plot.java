package ploverdale.tools.lab;

import java.awt.Color;
import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Draws line charts of CSV files that experiments wrote. */
public final class Plot {
    private static final int WIDTH = 900;
    private static final int HEIGHT = 500;

    private Plot() {}

    /**
     * Draws columns of a CSV file over its first column, on a logarithmic axis, and writes the chart as a PNG image.
     *
     * @param rows the CSV file, with a header line
     * @param unit label of the vertical axis
     * @param columns names of the columns to draw, as in the header line
     */
    public static void draw(Path rows, Path picture, String title, String unit, List<String> columns)
            throws IOException {
        System.setProperty("java.awt.headless", "true");
        List<String> lines = Files.readAllLines(rows);
        List<String> head = Arrays.asList(lines.get(0).split(","));
        XYSeriesCollection all = new XYSeriesCollection();
        for (String c : columns) {
            XYSeries s = new XYSeries(c);
            for (String l : lines.subList(1, lines.size())) {
                String[] cells = l.split(",");
                s.add(Double.parseDouble(cells[0]), Double.parseDouble(cells[head.indexOf(c)]));
            }
            all.addSeries(s);
        }
        JFreeChart chart = ChartFactory.createXYLineChart(title, head.get(0), unit, all);
        LogAxis x = new LogAxis(head.get(0));
        x.setBase(2);
        chart.getXYPlot().setDomainAxis(x);
        chart.getXYPlot().setBackgroundPaint(Color.WHITE);
        chart.getXYPlot().setRangeGridlinePaint(Color.LIGHT_GRAY);
        chart.getXYPlot().setRenderer(new XYLineAndShapeRenderer(true, true));
        ChartUtils.saveChartAsPNG(new File(picture.toString()), chart, WIDTH, HEIGHT);
    }
}
